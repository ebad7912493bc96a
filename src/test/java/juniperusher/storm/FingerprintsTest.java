package juniperusher.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FingerprintsTest {
    private final Fingerprints prints = new Fingerprints();

    @Test
    void eachRefusalAccountsForOneReturn() {
        assertFalse(prints.again(7, 1));
        prints.refused(7, 1);
        prints.refused(7, 2);
        assertTrue(prints.again(7, 3));
        assertTrue(prints.again(7, 3));
        assertFalse(prints.again(7, 3), "another message with the same content");
    }

    @Test
    void whatWasRefusedLongAgoIsForgotten() {
        prints.refused(7, 1);
        assertFalse(prints.again(7, 32));
        prints.refused(8, 1);
        prints.refused(9, 40);
        assertEquals(1, prints.size(), "the old one is dropped");
    }

    @Test
    void itHoldsNoMoreThanItsBoundAndDropsTheOldest() {
        for (int i = 0; i < 10_000; i++) {
            prints.refused(i, i * 0.001);
        }
        assertEquals(4096, prints.size());
        assertFalse(prints.again(10_000 - 4097, 10));
        assertTrue(prints.again(10_000 - 4096, 10));
    }
}
