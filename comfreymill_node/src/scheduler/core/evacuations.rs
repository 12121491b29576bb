use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_jobs::state;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::ReplyTo;
use crate::jobcall::Reply;
use crate::metering::observe;

/// Time between updates of the metrics.
const OBSERVE_PERIOD: Duration = Duration::from_secs(1);

/// Zone that is or was evacuated, as operators are shown it.
#[derive(serde::Serialize)]
struct ZoneView<'a> {
    zone: &'a id::ZoneName,
    state: &'static str,
    asked_by: Option<&'a str>,
    since_unix_ms: Option<u64>,
    withdrawn_by: Option<&'a str>,
    withdrawn_unix_ms: Option<u64>,
    /// Number of workers that get no tasks.
    closed_workers: u64,
    /// Number of runs that are left there.
    runs: u64,
    /// Number of those that last until their jobs are cancelled.
    long_running: u64,
}

/// # Evacuations of availability zones
impl Core {
    /// Proposes an evacuation, unless the zone is evacuated already.
    pub(super) fn evacuate(&mut self, order: Box<state::ZoneOrder>, reply: ReplyTo) {
        if let Some(refusal) = self.refuse_zone(&order.zone) {
            return reply.send(&refusal);
        }
        if self.is_settled(&order.zone, true) {
            return reply.send(&Reply::Done);
        }
        log::info!(target: "evacuations", zone:% = order.zone, operator = order.operator.as_str(), revision = order.revision; "an evacuation is asked for");
        self.queue_command(state::Command::Evacuate(order), reply, Reply::Done);
    }

    /// Proposes the withdrawal of an evacuation, unless the zone is not evacuated.
    pub(super) fn withdraw_evacuation(&mut self, order: Box<state::ZoneOrder>, reply: ReplyTo) {
        if let Some(refusal) = self.refuse_zone(&order.zone) {
            return reply.send(&refusal);
        }
        if self.is_settled(&order.zone, false) {
            return reply.send(&Reply::Done);
        }
        log::info!(target: "evacuations", zone:% = order.zone, operator = order.operator.as_str(), revision = order.revision; "the withdrawal of an evacuation is asked for");
        self.queue_command(state::Command::WithdrawEvacuation(order), reply, Reply::Done);
    }

    /// Returns whether a zone is in the wanted state, and no order that may change it is on its way
    /// into the log.
    ///
    /// A new leader has applied the entries of all earlier ones, so only its own count.
    fn is_settled(&self, zone: &id::ZoneName, is_evacuated: bool) -> bool {
        let record = self.state.get_evacuations().get(zone);
        let is_pending = self.state.get_applied() < self.zone_order_at
            || self.commands.iter().any(is_zone_order);
        !is_pending && record.is_some_and(|record| record.evacuated.is_some()) == is_evacuated
    }

    /// Returns the refusal of an order about a zone that is neither in the settings nor that of a
    /// known worker, nor was ever evacuated.
    fn refuse_zone(&self, zone: &id::ZoneName) -> Option<Reply> {
        let workers = self.state.get_workers().values();
        let is_known = self.cfg.zones.contains(zone)
            || self.state.get_evacuations().get(zone).is_some()
            || workers.map(|worker| &worker.announced).any(|worker| worker.zone == zone.as_str());
        if is_known {
            return None;
        }
        let known: Vec<&str> = self.cfg.zones.iter().map(id::ZoneName::as_str).collect();
        log::info!(target: "evacuations", zone:% = zone; "an order about an unknown zone is refused");
        let known = known.join(", ");
        Some(Reply::NoSuchZone(format!("there is no zone {zone}; the settings have: {known}")))
    }

    /// Returns the zones that are or were evacuated, with what is left there.
    pub(super) fn show_evacuations(&self) -> Reply {
        let Some(leadership) = &self.leadership else { return Reply::NotLeader };
        let reports = leadership.scheduler.zone_reports();
        let reports: BTreeMap<_, _> = reports.iter().map(|report| (&report.zone, report)).collect();
        let records = self.state.get_evacuations().iter();
        let zones: Vec<ZoneView<'_>> =
            records.map(|(zone, record)| view(zone, record, reports.get(zone).copied())).collect();
        match serde_json::to_vec(&serde_json::json!({ "zones": zones })) {
            Ok(text) => Reply::Evacuations(Bytes::from(text)),
            Err(error) => {
                log::error!(target: "evacuations", reason:% = error; "the evacuations cannot be encoded");
                Reply::Unknown
            }
        }
    }

    /// Updates the metrics on evacuations once per `OBSERVE_PERIOD`.
    pub(super) fn observe_evacuations(&mut self, now: time::Monotonic) {
        if now.since(self.zones_observed_at) < OBSERVE_PERIOD {
            return;
        }
        self.zones_observed_at = now;
        let evacuations = self.state.get_evacuations();
        observe::evacuated_zones(evacuations.evacuated().count());
        let reports = self.leadership.as_ref().map(|leader| leader.scheduler.zone_reports());
        let reports = reports.unwrap_or_default();
        for (zone, _) in evacuations.iter() {
            let report = reports.iter().find(|report| report.zone == *zone);
            observe::evacuated_zone_runs(zone, report.map_or(0, |report| report.runs));
        }
    }
}

/// Returns whether a command is an order about a zone.
pub(super) fn is_zone_order(command: &state::Command) -> bool {
    matches!(command, state::Command::Evacuate(_) | state::Command::WithdrawEvacuation(_))
}

fn view<'a>(
    zone: &'a id::ZoneName,
    record: &'a state::ZoneRecord,
    report: Option<&scheduler::ZoneReport>,
) -> ZoneView<'a> {
    let (evacuated, withdrawn) = (record.evacuated.as_ref(), record.withdrawn.as_ref());
    ZoneView {
        zone,
        state: match (evacuated, report) {
            (Some(_), _) => "evacuated",
            (None, Some(_)) => "returning",
            (None, None) => "in use",
        },
        asked_by: evacuated.map(|request| request.operator.as_str()),
        since_unix_ms: evacuated.map(|request| request.unix_ms),
        withdrawn_by: withdrawn.map(|request| request.operator.as_str()),
        withdrawn_unix_ms: withdrawn.map(|request| request.unix_ms),
        closed_workers: report.map_or(0, |report| report.closed),
        runs: report.map_or(0, |report| report.runs),
        long_running: report.map_or(0, |report| report.long_running),
    }
}
