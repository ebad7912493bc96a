package juniperusher.sim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import juniperusher.Protocol.CancelAttempt;
import juniperusher.Protocol.CloseIdle;
import juniperusher.Protocol.Fail;
import juniperusher.Protocol.Log;
import juniperusher.Protocol.Probe;
import juniperusher.Protocol.Refuse;
import juniperusher.Protocol.ReloadList;
import juniperusher.Protocol.Send;
import juniperusher.Protocol.SendNote;
import juniperusher.Protocol.SetListWatch;
import juniperusher.Protocol.SetTimer;
import juniperusher.Protocol.Settings;
import org.junit.jupiter.api.Test;

/** Compares the adapter's encoding with bytes written by hand from the description of the simulator's protocol. */
class WireTest {
    private static final String BATCH_TIME = "4020d3126e978d50";
    private static final String SETTINGS = """
            allowed.dialTimeoutS=1.5
            allowed.keepaliveS=10.0
            allowed.maxAttempts=8
            allowed.maxRetryAfterS=2.0
            allowed.mayCancel=true
            allowed.mostHeld=271
            allowed.parallelTries=true
            allowed.peerMessages=true
            allowed.probes=true
            allowed.retryAfter=true
            familyInfo.batchByKind=10,1
            familyInfo.feeByZone=0.0
            familyInfo.kindApart=false,false
            familyInfo.late=halving
            familyInfo.maxCalls=10
            fees.crossZone=0.0
            loadReport.fields=x0,x1
            locality=0
            membershipMode=push
            obligations.askWithinS=10.0
            obligations.coldFrom=0.19
            obligations.drainGraceS=1.0
            obligations.tipAfterS=1.5
            obligations.tipMultiple=2.0
            obligations.warmWithinS=12.0
            overShareWorth=0.1
            peersTotal=2
            requestClasses.count=1
            requestClasses.0.deadlineS=20.0
            requestClasses.0.effect=idempotent
            requestClasses.0.group=all
            requestClasses.0.keyTtlS=5.0
            requestClasses.0.lateValue=0.1
            requestClasses.0.name=aviso-push
            requestClasses.0.objectiveS=3.0
            requestClasses.0.worth=2.0
            tenants=
            unknown.key=ignored
            weightSource=rough
            """;

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replaceAll("\\s", ""));
    }

    private static String u32(int value) {
        return String.format("%08x", value);
    }

    private static String batch(int records, String body) {
        return u32(16 + hex(body).length) + BATCH_TIME + u32(records) + body;
    }

    private static String selectInstance(int instance) {
        return "08 00000004 " + u32(instance);
    }

    private static String startInstance(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return "01" + u32(12 + text.length) + "00000000000000ff" + u32(text.length)
                + HexFormat.of().formatHex(text);
    }

    private static final String TARGET_LIST = """
            07 00000030 0000 00000002
            00 03124a07 3f800000 01 00 0000000000000000 0039
            00 2c9011f2 3fc00000 01 00 4018666666666666 0039""";
    private static final String LIST_EVENT = "0b 00000007 0000 00000029 02";
    private static final String ARRIVED = """
            04 00000027 5d3a91c4 0000 00000000 91f03b7c55d20a64 3fceb851eb851eb8 3f889374bc6a7efa
            42640000 01""";
    private static final String ENDED = """
            0c 0000001a 5d3a91c4 0000 03124a07 000a 3f92f1a9fbe76c8b 01 00000000 00""";

    private static byte[] serve(String... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new BatchServer().serve(new ByteArrayInputStream(hex(String.join("", frames))), out);
        return out.toByteArray();
    }

    private static String errorOf(String... frames) {
        return assertThrows(MalformedInputException.class, () -> serve(frames)).getMessage();
    }

    @Test
    void emptyBatchGetsEmptyReply() throws IOException {
        assertArrayEquals(hex("00000004"), serve("00000010" + BATCH_TIME + "00000000"));
    }

    @Test
    void serveReturnsWhenInputEndsBetweenFrames() throws IOException {
        assertEquals(0, serve("").length);
    }

    @Test
    void messageIsSentOnceToTargetOfItsDestination() throws IOException {
        byte[] reply = serve(
                batch(5, selectInstance(3) + startInstance(SETTINGS) + TARGET_LIST + LIST_EVENT + ARRIVED),
                batch(2, selectInstance(3) + ENDED),
                batch(
                        7,
                        selectInstance(3) + "03 00000008 000000000000004d" + "05 00000004 0e6f2b19"
                                + "09 0000000f 2c9011f2 000a 3f56f0068db8bac7 00" + "02 00000008 0002 0004 68692037"
                                + "06 00000012 5d3a91c4 0000 03124a07 3f82f1a9fbe76c8b" + "0a 00000000"));
        String text = HexFormat.of().formatHex(reply);
        assertTrue(text.contains("49" + "00000004" + "00000003"), text);
        assertTrue(text.contains("48" + "00000010" + "5d3a91c4" + "03124a07"), text);
        assertEquals(text.indexOf("5d3a91c4"), text.lastIndexOf("5d3a91c4"), "one send, no further answer");
    }

    @Test
    void actionsAreEncodedAsSpecified() throws IOException {
        ReplyWriter reply = new ReplyWriter();
        reply.addActions(
                3,
                List.of(
                        new Send(0x5d3a91c4, 0x03124a07, Double.longBitsToDouble(0x3fb47ae147ae147bL)),
                        new SetTimer(Double.longBitsToDouble(0x4021d3126e978d50L), 0x4d),
                        new Refuse(0x0e6f2b19, 0.25),
                        new CancelAttempt(0x5d3a91c4, 0),
                        new SetListWatch(true),
                        new CloseIdle(0x2c9011f2),
                        new ReloadList(),
                        new Probe(0x2c9011f2),
                        new Fail(0x0e6f2b19),
                        new SendNote(-1, new byte[] {0x68, 0x69, 0x20, 0x37})));
        reply.addActions(5, List.of(new Log("two servers known")));
        reply.addActions(6, List.of());
        reply.addFault(3, "index out of range");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.writeTo(out);
        String body = """
                49 00000004 00000003
                48 00000010 5d3a91c4 03124a07 3fb47ae147ae147b
                44 00000010 4021d3126e978d50 000000000000004d
                4b 0000000c 0e6f2b19 3fd0000000000000
                4a 00000006 5d3a91c4 0000
                42 00000001 01
                4d 00000004 2c9011f2
                41 00000000
                45 00000004 2c9011f2
                47 00000004 0e6f2b19
                43 0000000a ffffffff 0004 68692037
                49 00000004 00000005
                46 00000013 0011 74776f2073657276657273206b6e6f776e
                49 00000004 00000003
                4c 00000014 0012 696e646578206f7574206f662072616e6765""";
        assertEquals(
                u32(hex(body).length + 4) + HexFormat.of().formatHex(hex(body)),
                HexFormat.of().formatHex(out.toByteArray()));
    }

    @Test
    void malformedInputIsRejectedWithSpecificMessage() {
        assertTrue(errorOf("00000010" + BATCH_TIME).contains("cut short"));
        assertTrue(errorOf("0000").contains("cut short"));
        assertTrue(errorOf(u32(4)).contains("no batch"));
        assertTrue(errorOf(batch(2, selectInstance(3) + ARRIVED)).contains("instance 3 was not started"));
        assertTrue(errorOf(batch(1, "08 00000009 00000003")).contains("frame ends"));
        assertTrue(errorOf(batch(1, "08 00000005 00000003 00")).contains("too many"));
        assertTrue(errorOf(batch(1, "07 00000006 0000 00000002")).contains("wanted"));
        assertTrue(errorOf(batch(2, selectInstance(3) + startInstance(SETTINGS.replace("allowed.mostHeld=271", ""))))
                .contains("allowed.mostHeld is missing"));
        assertTrue(errorOf(batch(2, selectInstance(3) + startInstance(SETTINGS.replace("271", "many"))))
                .contains("unreadable"));
        assertTrue(errorOf(batch(3, selectInstance(3) + startInstance(SETTINGS) + "63 00000000"))
                .contains("unknown code"));
    }

    @Test
    void exceptionInDecisionCodeIsReportedAsFault() throws IOException {
        ReplyWriter reply = new BatchServer()
                .handleBatch(hex(batch(
                        3,
                        selectInstance(3)
                                + startInstance(SETTINGS)
                                + ARRIVED.replace("5d3a91c4 0000", "5d3a91c4 0009"))));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.writeTo(out);
        String text = HexFormat.of().formatHex(out.toByteArray());
        assertTrue(text.contains("4c0000"), text);
    }

    @Test
    void settingsAreParsed() {
        SettingsParser.ParsedSettings parsed = SettingsParser.parse(SETTINGS);
        assertEquals(271, parsed.settings().limits().maxPending());
        assertEquals(10, parsed.settings().kinds().get(0).maxBatch());
        assertEquals(1, parsed.settings().kinds().get(1).maxBatch());
        assertEquals(0, parsed.remainingField());
        assertEquals(1, parsed.limitField());
        assertEquals(0.0, parsed.settings().rules().keyQuiet());
    }

    // Guards against a missing key that is taken for a value, such as a missing group for the group of all endpoints.
    @Test
    void settingsThatLackAnyKeyAreRejected() {
        SETTINGS.lines().filter(line -> !line.startsWith("unknown.key")).forEach(line -> {
            String key = line.substring(0, line.indexOf('='));
            String incomplete = SETTINGS.replace(line + '\n', "");
            String message = assertThrows(
                            MalformedInputException.class,
                            () -> SettingsParser.parse(incomplete),
                            "read without " + key)
                    .getMessage();
            assertEquals("settings: " + key + " is missing", message);
        });
    }

    // Guards against an unreadable value that is taken for the least strict one.
    @Test
    void unreadableValuesAreRejected() {
        for (String line : List.of(
                "requestClasses.0.group=zones",
                "requestClasses.0.group=",
                "requestClasses.0.deadlineS=1e999",
                "requestClasses.0.keyTtlS=NaN",
                "membershipMode=poll",
                "familyInfo.kindApart=yes,no",
                "tenants=a")) {
            String key = line.substring(0, line.indexOf('='));
            String message = assertThrows(
                            MalformedInputException.class, () -> SettingsParser.parse(SETTINGS + line + '\n'), line)
                    .getMessage();
            assertTrue(message.startsWith("settings: " + key + " is unreadable"), message);
        }
    }

    @Test
    void groupOfAClassIsParsed() {
        for (String group : List.of("all", "zone", "cell")) {
            Settings settings = SettingsParser.parse(SETTINGS + "requestClasses.0.group=" + group + '\n')
                    .settings();
            assertEquals(!group.equals("all"), settings.classes().get(0).zoneOnly(), group);
        }
    }

    @Test
    void routeFeesAndKeepAliveAreParsed() {
        Settings settings = SettingsParser.parse(SETTINGS + "familyInfo.feeByZone=0.01,0.04\n")
                .settings();
        assertEquals(List.of(0.01, 0.04), settings.routeFees());
        assertEquals(10.0, settings.limits().keepAlive());
        assertTrue(errorOf(batch(2, selectInstance(3) + startInstance(SETTINGS + "familyInfo.feeByZone=dear\n")))
                .contains("familyInfo.feeByZone is unreadable"));
    }
}
