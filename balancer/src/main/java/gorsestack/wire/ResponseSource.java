package gorsestack.wire;

/**
 * The upstream's connection as the source of a response that is relayed: pauses its reading, during which its silence is not counted, and
 * closes it if the client does not want the rest. Used on the event loop's thread only.
 */
final class ResponseSource implements BodyRelay.Source {
    private final Channel channel;
    private final StallDetector stallDetector;
    private final Runnable close;

    ResponseSource(Channel channel, StallDetector stallDetector, Runnable close) {
        this.channel = channel;
        this.stallDetector = stallDetector;
        this.close = close;
    }

    @Override
    public void pauseBody(boolean paused) {
        stallDetector.pause(paused);
        if (paused) {
            channel.readOneAtATime(true); // The client is slow: what is read beyond the limit would wait for it, too.
        }
        channel.suspendReading(paused);
    }

    @Override
    public void bodyCancelled() {
        close.run();
    }

    @Override
    public void bodyNotReplayable() {}
}
