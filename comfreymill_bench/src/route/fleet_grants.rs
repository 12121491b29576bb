use std::net;

use comfreymill_route::grant;
use comfreymill_types::id;
use comfreymill_types::time;

use super::event::Event;
use super::fake_entry::name;
use super::fleet::{Fleet, SLOTS};

const CONTROL_ONE_WAY_MICROS: u64 = 500;
const COMMIT_MICROS: u64 = 3_000;
const HEARTBEAT_MICROS: u64 = 250_000;
const LEADER_TICK_MICROS: u64 = 50_000;

/// Creates the granter of the fleet's only group.
pub(super) fn granter() -> grant::Granter {
    grant::Granter::recover(grant::Config::default(), 0, 1, time::Monotonic::ZERO, [])
}

/// Handles heartbeats, grants and tables between the entries and the granter.
impl Fleet {
    pub(super) fn send_heartbeat(&mut self, entry: usize) {
        let now = self.time();
        let heartbeat = self.entries[entry].heartbeat(now);
        self.schedule_after(CONTROL_ONE_WAY_MICROS, Event::Heartbeat { heartbeat });
    }

    pub(super) fn handle_grant_event(&mut self, event: Event) {
        match event {
            Event::HeartbeatDue { entry } => {
                self.send_heartbeat(entry);
                self.schedule_after(HEARTBEAT_MICROS, Event::HeartbeatDue { entry });
            }
            Event::Heartbeat { heartbeat } => self.receive_heartbeat(&heartbeat),
            Event::Table { entry, table } => {
                let now = self.time();
                self.entries[entry].router.update_executors(now, table);
                self.apply_actions(entry);
            }
            Event::Commit { changes } => {
                for change in &changes {
                    self.granter.committed(change);
                }
                self.send_tables();
            }
            Event::LeaderTick => {
                self.plan();
                self.schedule_after(LEADER_TICK_MICROS, Event::LeaderTick);
            }
            Event::Announce { executor } => self.announce(executor),
            _ => {}
        }
    }

    fn receive_heartbeat(&mut self, heartbeat: &grant::Heartbeat) {
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
        self.send_tables();
    }

    fn commit(&mut self, changes: Vec<grant::GrantChange>) {
        if !changes.is_empty() {
            self.tally.grant_changes += changes.len() as u64;
            self.schedule_after(COMMIT_MICROS, Event::Commit { changes });
        }
    }

    fn send_tables(&mut self) {
        let now = self.time();
        for entry in 0..self.entries.len() {
            let name = self.entries[entry].name.clone();
            if let Some(table) = self.granter.table(now, &name, id::Incarnation::new(1)) {
                self.schedule_after(CONTROL_ONE_WAY_MICROS, Event::Table { entry, table });
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
