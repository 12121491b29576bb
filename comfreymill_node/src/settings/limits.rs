use comfreymill_http::limits as http_limits;
use comfreymill_types::size;
use comfreymill_types::time;
use comfreymill_types::yaml;

const MIN_HEAD_BYTES: u64 = 1 << 10;
const MAX_HEAD_BYTES: u64 = http_limits::MAX_HEAD_BYTES_CEILING as u64;

settings_group! {
    /// Limits on what clients may use of a process.
    pub struct Limits {
        /// Maximum size of the head of an HTTP message.
        head, get_head: size::ByteSize = size::ByteSize::new(32 << 10);
        /// Maximum size of the body of an HTTP message.
        body, get_body: size::ByteSize = size::ByteSize::new(8 << 20);
        /// Maximum number of open connections of one listener.
        connections, get_connections: u32 = 4_096;
        /// Time after which a connection without a request is closed.
        idle, get_idle: time::Span = time::Span::from_secs(60);
        /// Maximum time between two bytes of the same message.
        progress, get_progress: time::Span = time::Span::from_secs(10);
        /// Maximum number of requests queued at an entry, over all classes.
        queue, get_queue: u32 = 4_096;
    }
}

impl Limits {
    pub(super) fn read(section: &yaml::Section<'_>) -> Self {
        let limits = Self::read_values(section);
        if !(MIN_HEAD_BYTES..=MAX_HEAD_BYTES).contains(&limits.head.get()) {
            section.problem("head", "must be between 1KiB and 60KiB");
        }
        if limits.connections == 0 {
            section.problem("connections", "a listener needs at least 1 connection");
        }
        if limits.queue == 0 {
            section.problem("queue", "an entry needs room for at least 1 request");
        }
        for (key, span) in [("idle", limits.idle), ("progress", limits.progress)] {
            if span.get_duration().is_zero() {
                section.problem(key, "must be greater than 0s");
            }
        }
        section.finish();
        limits
    }
}
