use std::net;

use comfreymill_route::grant;
use comfreymill_types::id;
use comfreymill_types::time;

use super::event::Event;
use super::fake_entry::name;
use super::fleet::{Fleet, SLOTS};

const CONTROL_ONE_WAY_MICROS: u64 = 500;
const COMMIT_MICROS: u64 = 3_000;
const BEAT_MICROS: u64 = 250_000;
const LEADER_TICK_MICROS: u64 = 50_000;

/// Granter of the fleet's only group.
pub(super) fn granter() -> grant::Granter {
    grant::Granter::recover(grant::Config::default(), 0, 1, time::Monotonic::ZERO, [])
}

/// # Grants
impl Fleet {
    pub(super) fn beat(&mut self, entry: usize) {
        let now = self.time();
        let heartbeat = self.entries[entry].heartbeat(now);
        self.after(CONTROL_ONE_WAY_MICROS, Event::Heartbeat { heartbeat });
    }

    pub(super) fn step_grants(&mut self, event: Event) {
        match event {
            Event::Beat { entry } => {
                self.beat(entry);
                self.after(BEAT_MICROS, Event::Beat { entry });
            }
            Event::Heartbeat { heartbeat } => self.take_heartbeat(&heartbeat),
            Event::Table { entry, table } => {
                let now = self.time();
                self.entries[entry].router.update_executors(now, table);
                self.act(entry);
            }
            Event::Commit { changes } => {
                for change in &changes {
                    self.granter.committed(change);
                }
                self.show_tables();
            }
            Event::LeaderTick => {
                self.plan();
                self.after(LEADER_TICK_MICROS, Event::LeaderTick);
            }
            Event::Announce { executor } => self.announce(executor),
            _ => {}
        }
    }

    fn take_heartbeat(&mut self, heartbeat: &grant::Heartbeat) {
        let now = self.time();
        self.granter.heartbeat(now, heartbeat);
        let changes = self.granter.take_changes();
        self.commit(changes);
    }

    fn plan(&mut self) {
        let now = self.time();
        self.granter.tick(now);
        let changes = self.granter.take_changes();
        self.commit(changes);
        self.show_tables();
    }

    fn commit(&mut self, changes: Vec<grant::GrantChange>) {
        if !changes.is_empty() {
            self.tally.grant_changes += changes.len() as u64;
            self.after(COMMIT_MICROS, Event::Commit { changes });
        }
    }

    fn show_tables(&mut self) {
        let now = self.time();
        for entry in 0..self.entries.len() {
            let name = self.entries[entry].name.clone();
            if let Some(table) = self.granter.table(now, &name, id::Incarnation::new(1)) {
                self.after(CONTROL_ONE_WAY_MICROS, Event::Table { entry, table });
            }
        }
    }

    fn announce(&mut self, executor: usize) {
        let state = &self.executors[executor];
        let port = u16::try_from(executor + 1).unwrap_or(u16::MAX);
        self.granter.executor_announced(grant::Announcement {
            name: name(&state.name),
            incarnation: id::Incarnation::new(1),
            service: name("register"),
            address: net::SocketAddr::from(([127, 0, 0, 1], port)),
            region: name(&state.region),
            zone: name(&format!("{}-a", state.region)),
            slots: SLOTS,
            connections: 8 * SLOTS,
        });
    }
}
