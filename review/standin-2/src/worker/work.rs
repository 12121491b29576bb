use std::time::Duration;

/// What a task does, as its text says in words such as `cpu=2000 ms=1000 saves`.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Work {
    /// Processor time that it reserves, in thousandths of a core; none if it fills.
    pub(crate) cpu: u64,
    /// Duration of its work; `None` if it lasts.
    pub(crate) duration: Option<Duration>,
    /// Whether it saves its progress.
    pub(crate) is_saved: bool,
    /// Whether it serves users of its own, whose response times the executor reports.
    pub(crate) serves: bool,
}

impl Work {
    /// Reads the text of a task.
    pub(crate) fn read(text: &str) -> Self {
        let mut work = Self::default();
        for word in text.split(' ') {
            match word.split_once('=') {
                Some(("cpu", cpu)) => work.cpu = cpu.parse().unwrap_or_default(),
                Some(("ms", ms)) => work.duration = ms.parse().ok().map(Duration::from_millis),
                None if word == "saves" => work.is_saved = true,
                None if word == "serves" => work.serves = true,
                _ => {}
            }
        }
        work
    }
}
