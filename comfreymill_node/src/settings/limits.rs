use comfreymill_http::limits as http_limits;
use comfreymill_types::size;
use comfreymill_types::time;
use comfreymill_types::yaml;

const MIN_HEAD_BYTES: u64 = 1 << 10;
const MAX_HEAD_BYTES: u64 = http_limits::MAX_HEAD_BYTES_CEILING as u64;

settings_group! {
    /// Bounds on what a stranger may use of a process.
    pub struct Limits {
        /// Largest head of an HTTP message.
        head, get_head: size::ByteSize = size::ByteSize::new(32 << 10);
        /// Largest body of an HTTP message.
        body, get_body: size::ByteSize = size::ByteSize::new(8 << 20);
        /// Most open connections of one listener.
        connections, get_connections: u32 = 4_096;
        /// Longest time for which a connection may wait for its next request.
        idle, get_idle: time::Span = time::Span::from_secs(60);
        /// Longest time within a message for which no byte arrives.
        progress, get_progress: time::Span = time::Span::from_secs(10);
        /// Most requests that wait at an entry, over all classes.
        queue, get_queue: u32 = 4_096;
    }
}

impl Limits {
    pub(super) fn read(section: &yaml::Section<'_>) -> Self {
        let limits = Self::read_values(section);
        if !(MIN_HEAD_BYTES..=MAX_HEAD_BYTES).contains(&limits.head.get()) {
            section.problem("head", "the limit of a head is from 1KiB to 60KiB");
        }
        if limits.connections == 0 {
            section.problem("connections", "a listener needs at least 1 connection");
        }
        if limits.queue == 0 {
            section.problem("queue", "an entry needs room for at least 1 request");
        }
        for (key, span) in [("idle", limits.idle), ("progress", limits.progress)] {
            if span.get_duration().is_zero() {
                section.problem(key, "the time is more than 0s");
            }
        }
        section.finish();
        limits
    }
}
