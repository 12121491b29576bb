use comfreymill_types::time;

/// Whether an executor takes requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Health {
    /// Takes requests.
    Serving,
    /// Takes none until the back-off has passed and a probe succeeded.
    Ejected { until: time::Monotonic },
    /// A probe is under way; it is given up at `until`.
    Probing { until: time::Monotonic },
    /// Takes one request at a time until one succeeded.
    Trial,
}
