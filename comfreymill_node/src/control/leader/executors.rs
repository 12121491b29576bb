use std::time::Duration;

use comfreymill_route::grant;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::Leader;
use crate::protocol;

/// State of an executor from its last announcement.
#[derive(Clone, Debug)]
pub(in crate::control) struct ExecutorInfo {
    pub(in crate::control) announcement: protocol::ExecutorAnnouncement,
    pub(in crate::control) last_heard: time::Monotonic,
}

/// # Executors
impl Leader {
    /// Handles an announcement of an executor.
    ///
    /// # Errors
    ///
    /// `bad-request` if the slots or connections are too few; `conflict` if a newer incarnation is
    /// known, or if this incarnation announced another environment or stage before.
    pub(in crate::control) fn executor_announced(
        &mut self,
        now: time::Monotonic,
        announcement: protocol::ExecutorAnnouncement,
    ) -> Result<(), error::Error> {
        self.check_announcement(&announcement)?;
        let stage_key = stage_key(&announcement);
        let name = announcement.name.clone();
        let incarnation = announcement.incarnation;
        let is_leaving = announcement.state == protocol::UpstreamState::Leaving;
        let known = self.executors.get(&name).map(|known| &known.announcement);
        let is_changed = known != Some(&announcement);
        let granter = self.get_or_create_granter(now, &stage_key);
        granter.executor_announced(grant_announcement(&announcement));
        if is_leaving {
            granter.executor_leaving(&name, incarnation);
        }
        self.executors.insert(name, ExecutorInfo { announcement, last_heard: now });
        if is_changed {
            self.is_table_due = true;
            self.plan_grants(now);
        }
        Ok(())
    }

    /// Iterates over the known executors in order of name.
    pub(in crate::control) fn get_executors(
        &self,
    ) -> impl Iterator<Item = (&id::ExecutorName, &ExecutorInfo)> {
        self.executors.iter()
    }

    pub(super) fn expire_executors(&mut self, now: time::Monotonic, timeout: Duration) {
        let expired =
            self.executors.extract_if(.., |_, info| now.since(info.last_heard) >= timeout);
        for (name, info) in expired {
            log::warn!(
                target: "control",
                "Executor {name} has stopped announcing itself and is removed."
            );
            if let Some(granter) = self.granters.get_mut(&stage_key(&info.announcement)) {
                granter.executor_lost(&name, info.announcement.incarnation);
            }
            self.is_table_due = true;
        }
    }

    fn check_announcement(
        &self,
        announcement: &protocol::ExecutorAnnouncement,
    ) -> Result<(), error::Error> {
        let refuse =
            |kind, field: &str, message: String| Err(error::Error::new(kind, message).field(field));
        if announcement.slots == 0 {
            let message = "an executor needs at least 1 slot".to_owned();
            return refuse(error::ErrorKind::BadRequest, "slots", message);
        }
        if announcement.connections < announcement.slots {
            let message = "an executor needs at least as many connections as slots".to_owned();
            return refuse(error::ErrorKind::BadRequest, "connections", message);
        }
        let Some(known) = self.executors.get(&announcement.name) else { return Ok(()) };
        let known = &known.announcement;
        if known.incarnation > announcement.incarnation {
            let message = format!("a newer incarnation of {} is known", announcement.name);
            return refuse(error::ErrorKind::Conflict, "incarnation", message);
        }
        if stage_key(known) != stage_key(announcement)
            && known.incarnation == announcement.incarnation
        {
            let message =
                "an incarnation of an executor serves one environment and stage".to_owned();
            return refuse(error::ErrorKind::Conflict, "environment", message);
        }
        Ok(())
    }
}

fn stage_key(announcement: &protocol::ExecutorAnnouncement) -> protocol::EnvironmentStage {
    protocol::EnvironmentStage {
        environment: announcement.environment.clone(),
        stage: announcement.stage,
    }
}

fn grant_announcement(announcement: &protocol::ExecutorAnnouncement) -> grant::Announcement {
    grant::Announcement {
        name: announcement.name.clone(),
        incarnation: announcement.incarnation,
        service: announcement.service.clone(),
        address: announcement.address,
        region: announcement.region.clone(),
        zone: announcement.zone.clone(),
        slots: announcement.slots,
        connections: announcement.connections,
    }
}
