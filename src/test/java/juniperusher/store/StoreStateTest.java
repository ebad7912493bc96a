package juniperusher.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class StoreStateTest {
    private final StoreState store = new StoreState();

    private Reply.Done put(String key, String value, long lease, Compare... when) {
        return (Reply.Done) store.answer(
                new Request.Txn(
                        List.of(when), List.of(new Op.Put(key, value, lease)), List.of(new Op.Read(key, false))),
                store.time());
    }

    private List<Entry> read(String key, boolean prefix) {
        return ((Reply.Done) store.answer(
                        new Request.Txn(List.of(), List.of(new Op.Read(key, prefix)), List.of()), store.time()))
                .reads()
                .get(0);
    }

    @Test
    void transactionIsOneRevisionAndRequiresAllConditions() {
        assertEquals(2, put("a", "1", 0, Compare.created("a", 0)).revision());
        assertEquals(
                3,
                put("a", "2", 0, Compare.value("a", "1"), Compare.modified("a", 2))
                        .revision());
        Reply.Done refused = put("a", "3", 0, Compare.created("a", 0));
        assertFalse(refused.succeeded());
        assertEquals(List.of(List.of(new Entry("a", "2", 2, 3, 0))), refused.reads());
        assertEquals(3, refused.revision(), "a transaction that only reads makes no revision");
        Reply.Done two = (Reply.Done) store.answer(
                new Request.Txn(
                        List.of(),
                        List.of(new Op.Put("b", "1", 0), new Op.Put("c", "1", 0), new Op.Delete("none")),
                        List.of()),
                0);
        assertEquals(4, two.revision());
        assertEquals(
                List.of(4L, 4L),
                store.changes("", 4).stream().map(Change::revision).toList());
    }

    @Test
    void recreatedKeyHasANewCreationRevision() {
        put("a", "1", 0);
        store.answer(new Request.Txn(List.of(), List.of(new Op.Delete("a")), List.of()), 0);
        put("a", "1", 0);
        assertEquals(4, read("a", false).get(0).created());
    }

    @Test
    void leaseExpiresWithItsKeysUnlessKeptAlive() {
        long lease = ((Reply.Leased) store.answer(new Request.Grant(5), 0)).lease();
        put("a/1", "x", lease);
        put("a/2", "x", lease);
        put("a/3", "x", 0);
        store.answer(new Request.KeepAlive(lease), 4);
        store.tick(8.9);
        assertEquals(3, read("a/", true).size());
        store.tick(9);
        assertEquals(List.of("a/3"), read("a/", true).stream().map(Entry::key).toList());
        assertInstanceOf(Reply.NoLease.class, store.answer(new Request.KeepAlive(lease), 9));
        assertEquals(
                2,
                store.changes("a/", store.revision()).stream()
                        .filter(Change::deleted)
                        .count());
    }

    @Test
    void transactionWithAnExpiredLeaseIsNotExecuted() {
        long lease = ((Reply.Leased) store.answer(new Request.Grant(1), 0)).lease();
        Reply reply = store.answer(
                new Request.Txn(List.of(), List.of(new Op.Put("b", "x", 0), new Op.Put("a", "x", lease)), List.of()),
                2);
        assertEquals(new Reply.NoLease(lease), reply);
        assertEquals(List.of(), read("", true));
    }

    @Test
    void revokedLeaseEndsAtOnceAndRestartRestartsLeases() {
        long one = ((Reply.Leased) store.answer(new Request.Grant(5), 0)).lease();
        long two = ((Reply.Leased) store.answer(new Request.Grant(5), 0)).lease();
        put("one", "x", one);
        put("two", "x", two);
        store.answer(new Request.Revoke(one), 1);
        assertEquals(List.of(), read("one", false));
        store.restart(20);
        store.tick(24.9);
        assertEquals(1, read("two", false).size());
        store.tick(25);
        assertEquals(List.of(), read("two", false));
    }

    @Test
    void compactedRevisionsCannotBeRead() {
        put("a", "1", 0);
        put("a", "2", 0);
        store.compact(2);
        assertEquals(1, store.changes("a", 3).size());
        assertTrue(assertThrows(IllegalStateException.class, () -> store.changes("a", 2))
                .getMessage()
                .contains("compacted"));
    }

    @Test
    void invalidTimesAreRejected() {
        store.tick(5);
        assertThrows(IllegalArgumentException.class, () -> store.tick(4));
        assertThrows(IllegalArgumentException.class, () -> store.answer(new Request.Grant(0), 5));
    }
}
