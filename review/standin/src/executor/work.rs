/// Work of a task, from its job's `task_spec`, such as `ms=800 cpu=2000`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Work {
    /// Time that the task takes, in milliseconds.
    pub(super) ms: u64,
    /// Thousandths of a core that the task needs.
    pub(super) cpu: u64,
    /// Number of members of its gang; 0 for a task by itself.
    pub(super) gang: usize,
}

impl Work {
    pub(super) fn parse(text: &str) -> Self {
        let value = |name: &str| {
            let mut words = text.split(' ').filter_map(|word| word.split_once('='));
            words.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let gang = value("gang").unwrap_or(0) as usize;
        Self { ms: value("ms").unwrap_or(500), cpu: value("cpu").unwrap_or(1_000), gang }
    }
}
