use rand::RngExt as _;

use super::message::Event;
use super::world::World;

const ENTRY_DOWN_MILLIS: u64 = 300;
const MAX_CUT_OFF_MILLIS: u64 = 4_000;

/// # Fault injection
impl World {
    /// Injects one fault and schedules the next.
    pub(super) fn make_fault(&mut self) {
        if !self.is_faulty {
            return;
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let executor = self.rng.random_range(0..self.executors.len());
        match self.rng.random_range(0..6) {
            0 => self.kill_entry(entry),
            1 => self.entries[entry].is_cut_off = !self.entries[entry].is_cut_off,
            2 => self.restart_executor(executor),
            3 => self.executors[executor].is_leaving = true,
            4 => self.change_leader(),
            _ => self.executor_unheard(executor),
        }
        let gap = self.rng.random_range(50..MAX_CUT_OFF_MILLIS / 4);
        self.after(gap, Event::Fault);
    }

    fn kill_entry(&mut self, entry: usize) {
        if self.entries[entry].is_up {
            self.entries[entry].die();
            let down = self.rng.random_range(1..ENTRY_DOWN_MILLIS);
            self.after(down, Event::EntryStarts { entry });
        }
    }

    fn restart_executor(&mut self, executor: usize) {
        if self.executors[executor].is_up {
            self.executors[executor].stop();
            let down = self.rng.random_range(1..400);
            self.after(down, Event::ExecutorStarts { executor });
        }
    }

    /// Lets the leader treat a running executor as lost.
    fn executor_unheard(&mut self, executor: usize) {
        let state = &self.executors[executor];
        let name = crate::support::name(&state.name);
        let life = comfreymill_types::id::Incarnation::new(state.life);
        self.leader.granter.gone(&name, life);
    }

    /// Ends all faults and restarts the executors that are leaving.
    pub(super) fn heal(&mut self) {
        self.is_faulty = false;
        for entry in &mut self.entries {
            entry.is_cut_off = false;
        }
        let leaving: Vec<usize> = (0..self.executors.len())
            .filter(|executor| self.executors[*executor].is_leaving)
            .collect();
        for executor in leaving {
            self.restart_executor(executor);
        }
    }
}
