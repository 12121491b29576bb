/// Rows of a report that cannot be read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unread {
    /// Number of rows of runs in progress that name no run.
    pub running: usize,
    /// Numbers of the ends that cannot be read otherwise.
    pub ends: Vec<u64>,
    /// Number of ends of which not even the number can be read.
    pub unnumbered: usize,
    /// Why the first of these rows cannot be read.
    pub reason: String,
}

impl Unread {
    /// Returns whether all rows can be read.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of rows that cannot be read.
    pub fn len(&self) -> usize {
        self.running + self.ends.len() + self.unnumbered
    }
}
