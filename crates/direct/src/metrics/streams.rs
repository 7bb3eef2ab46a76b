//! The metrics of streams that go on at another endpoint or instance.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};

#[derive(Debug)]
pub(crate) struct Streams {
    resumed: Counter<u64>,
    taken_up: Counter<u64>,
    told: Counter<u64>,
    past_reads: Counter<u64>,
    written: Counter<u64>,
    kept_read: Counter<u64>,
    unwritten_dropped: Gauge<u64>,
    ended: Counter<u64>,
    slow_readers: Counter<u64>,
    unread_aborts: Counter<u64>,
    disconnected: Counter<u64>,
    origins: Gauge<u64>,
    dropped: Gauge<u64>,
}

impl Streams {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            let counter = meter.u64_counter(name);
            counter.with_description(description).build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            resumed: counter("godwitpost.resumed", "Streams resumed at another endpoint"),
            taken_up: counter(
                "godwitpost.streams_taken_up",
                "Streams that their callers take up, by how it is known which build began them",
            ),
            told: counter(
                "godwitpost.streams_told",
                "Streams that another instance was told of, by whether it took the message",
            ),
            past_reads: counter(
                "godwitpost.past_reads",
                "Attempts to read from the log which builds served before the start",
            ),
            written: counter(
                "godwitpost.streams_written",
                "Streams whose origin was to be written to the log, by whether the log took it",
            ),
            kept_read: counter(
                "godwitpost.streams_read",
                "Streams whose origin was read from the log after the start",
            ),
            unwritten_dropped: gauge(
                "godwitpost.streams_unwritten_dropped",
                "Streams whose origin was never written, as there were too many",
            ),
            ended: counter(
                "godwitpost.streams_ended",
                "Streams that were relayed completely, by whether their events were in time",
            ),
            slow_readers: counter(
                "godwitpost.responses_held_back",
                "Responses that were read from their endpoints a second or more later since their callers read slowly",
            ),
            unread_aborts: counter(
                "godwitpost.unread_responses_aborted",
                "Responses that broke off after they were held back, not counted against their endpoints",
            ),
            disconnected: counter(
                "godwitpost.unread_connections_reset",
                "Connections of callers that were reset since nothing was read for too long",
            ),
            origins: gauge(
                "godwitpost.stream_origins",
                "Streams whose build is remembered here",
            ),
            dropped: gauge(
                "godwitpost.stream_origins_dropped",
                "Streams whose build was forgotten early, as there were too many",
            ),
        }
    }

    pub(crate) fn count_resumed(&self) {
        self.resumed.add(1, &[]);
    }

    pub(crate) fn count_taken_up(&self, known_by: &'static str) {
        self.taken_up.add(1, &[KeyValue::new("known_by", known_by)]);
    }

    pub(crate) fn count_told(&self, streams: usize, taken: bool) {
        self.told
            .add(streams as u64, &[KeyValue::new("taken", taken)]);
    }

    pub(crate) fn count_past_read(&self, was_read: bool) {
        self.past_reads.add(1, &[KeyValue::new("read", was_read)]);
    }

    pub(crate) fn count_written(&self, streams: usize, taken: bool) {
        self.written
            .add(streams as u64, &[KeyValue::new("taken", taken)]);
    }

    pub(crate) fn count_kept_read(&self, streams: usize) {
        self.kept_read.add(streams as u64, &[]);
    }

    pub(crate) fn record_unwritten_dropped(&self, count: u64) {
        self.unwritten_dropped.record(count, &[]);
    }

    pub(crate) fn count_timeliness(&self, route: &str, timeliness: &'static str) {
        let set = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("timeliness", timeliness),
        ];
        self.ended.add(1, &set);
    }

    pub(crate) fn count_slow_reader(&self) {
        self.slow_readers.add(1, &[]);
    }

    pub(crate) fn count_unread_abort(&self) {
        self.unread_aborts.add(1, &[]);
    }

    pub(crate) fn count_unread_connection(&self) {
        self.disconnected.add(1, &[]);
    }

    pub(crate) fn record_origins(&self, count: usize, dropped: u64) {
        self.origins.record(count as u64, &[]);
        self.dropped.record(dropped, &[]);
    }
}
