use rand::RngExt as _;

use super::message::Event;
use super::simulation::Simulation;

const ENTRY_DOWN_MILLIS: u64 = 300;
const MAX_FAULT_GAP_MILLIS: u64 = 1_000;

/// # Fault injection
impl Simulation {
    /// Injects one fault and schedules the next.
    pub(super) fn inject_fault(&mut self) {
        if !self.is_faulty {
            return;
        }
        let entry = self.rng.random_range(0..self.entries.len());
        let executor = self.rng.random_range(0..self.executors.len());
        match self.rng.random_range(0..6) {
            0 => self.crash_entry(entry),
            1 => self.entries[entry].is_partitioned = !self.entries[entry].is_partitioned,
            2 => self.restart_executor(executor),
            3 => self.executors[executor].is_leaving = true,
            4 => self.change_leader(),
            _ => self.report_executor_lost(executor),
        }
        let gap = self.rng.random_range(50..MAX_FAULT_GAP_MILLIS);
        self.schedule_after(gap, Event::Fault);
    }

    fn crash_entry(&mut self, entry: usize) {
        if self.entries[entry].is_up {
            self.entries[entry].crash();
            let down = self.rng.random_range(1..ENTRY_DOWN_MILLIS);
            self.schedule_after(down, Event::EntryStarts { entry });
        }
    }

    fn restart_executor(&mut self, executor: usize) {
        if self.executors[executor].is_up {
            self.executors[executor].stop();
            let down = self.rng.random_range(1..400);
            self.schedule_after(down, Event::ExecutorStarts { executor });
        }
    }

    /// Lets the leader treat a running executor as lost.
    fn report_executor_lost(&mut self, executor: usize) {
        let state = &self.executors[executor];
        let name = crate::support::name(&state.name);
        let incarnation = comfreymill_types::id::Incarnation::new(state.incarnation);
        self.leader.granter.executor_lost(&name, incarnation);
    }

    /// Ends all faults and restarts the executors that are leaving.
    pub(super) fn stop_faults(&mut self) {
        self.is_faulty = false;
        for entry in &mut self.entries {
            entry.is_partitioned = false;
        }
        let leaving: Vec<usize> = (0..self.executors.len())
            .filter(|executor| self.executors[*executor].is_leaving)
            .collect();
        for executor in leaving {
            self.restart_executor(executor);
        }
    }
}
