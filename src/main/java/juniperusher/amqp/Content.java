package juniperusher.amqp;

import java.io.ByteArrayOutputStream;

/**
 * Properties and body of an AMQP message. Only the properties that the relay uses are kept; an absent one is
 * an empty string. The body is not copied.
 */
record Content(
        String contentType,
        String correlationId,
        String replyTo,
        String expiration,
        String messageId,
        String type,
        byte[] body) {
    private static final int BASIC_CLASS_ID = 60;

    /**
     * Reads the properties of a content header, positioned at the property flags; the body is empty.
     *
     * @throws AmqpError if the properties are malformed
     */
    static Content readProperties(Method in) {
        int flags = in.u16();
        if ((flags & 1) != 0) {
            throw new AmqpError(AmqpError.SYNTAX_ERROR, "property flags go on where none are defined");
        }
        String contentType = readText(in, flags, 15);
        readText(in, flags, 14); // content-encoding
        if ((flags & 1 << 13) != 0) {
            in.skipTable();
        }
        skipOctet(in, flags, 12); // delivery-mode
        skipOctet(in, flags, 11); // priority
        String correlationId = readText(in, flags, 10);
        String replyTo = readText(in, flags, 9);
        String expiration = readText(in, flags, 8);
        String messageId = readText(in, flags, 7);
        if ((flags & 1 << 6) != 0) {
            in.u64(); // timestamp
        }
        return new Content(
                contentType, correlationId, replyTo, expiration, messageId, readText(in, flags, 5), new byte[0]);
    }

    private static String readText(Method in, int flags, int bit) {
        return (flags & 1 << bit) == 0 ? "" : in.shortText();
    }

    private static void skipOctet(Method in, int flags, int bit) {
        if ((flags & 1 << bit) != 0) {
            in.u8();
        }
    }

    /** Returns a copy with the body replaced. */
    Content withBody(byte[] newBody) {
        return new Content(contentType, correlationId, replyTo, expiration, messageId, type, newBody);
    }

    /**
     * Encodes the method, the content header and the body frames as one write.
     *
     * @param method   a method that is followed by content
     * @param frameMax largest frame in bytes
     */
    byte[] toFrames(Method.Writer method, int channel, int frameMax) {
        String[] texts = {contentType, correlationId, replyTo, expiration, messageId, type};
        int[] bits = {15, 10, 9, 8, 7, 5};
        int flags = 1 << 12;
        for (int i = 0; i < texts.length; i++) {
            flags |= texts[i].isEmpty() ? 0 : 1 << bits[i];
        }
        Method.Writer header =
                new Method.Writer(BASIC_CLASS_ID << 16).u64(body.length).u16(flags);
        for (int i = 0; i < texts.length; i++) {
            if (i == 1) {
                header.u8(2); // delivery-mode 2: persistent
            }
            if (!texts[i].isEmpty()) {
                header.shortText(texts[i]);
            }
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(method.methodFrame(channel));
        out.writeBytes(header.headerFrame(channel));
        int maxPayloadBytes = frameMax - Frame.OVERHEAD_BYTES;
        for (int offset = 0; offset < body.length; offset += maxPayloadBytes) {
            out.writeBytes(new Frame(
                            Frame.BODY,
                            channel,
                            java.util.Arrays.copyOfRange(body, offset, Math.min(body.length, offset + maxPayloadBytes)))
                    .toBytes());
        }
        return out.toByteArray();
    }
}
