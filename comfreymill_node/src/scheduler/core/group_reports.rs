use std::time::Duration;

use comfreymill_group::membership;
use comfreymill_group::replica;
use comfreymill_types::time;

use super::core::Core;
use crate::jobcall;
use crate::metering::observe;
use crate::scheduler::member_id;
use crate::scheduler::roster::Roster;
use crate::scheduler::voter_report::VoterReport;

/// Interval between checks of what is reported of the group.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// What was last reported of the group.
#[derive(Debug, Default)]
pub(super) struct GroupReports {
    checked_at: time::Monotonic,
    voters_bound: replica::LogBound,
    /// Membership that was last logged.
    membership: membership::Membership,
}

/// # Reports on the group
impl Core {
    /// Logs and measures the state of the group, as this replica knows it.
    pub(super) fn report_group(&mut self, now: time::Monotonic) {
        self.report_membership();
        if now.since(self.group_reports.checked_at) < CHECK_PERIOD {
            return;
        }
        self.group_reports.checked_at = now;
        self.cfg.leader.set_own(self.own_replica(now));
        let leads = self.leadership.is_some() && self.is_serving(now);
        let report = leads.then(|| VoterReport::new(&self.replica.status(now), self.cfg.voters));
        observe::group(observe::GroupCounts {
            wanted: report.as_ref().map_or(0, |report| report.wanted),
            answering: report.as_ref().map_or(0, |report| report.answering),
            learners: report.as_ref().map_or(0, |report| report.learners.len()),
            missing: self.replica.missing_votes(now),
        });
        if let Some(report) = report.filter(VoterReport::is_short)
            && self.group_reports.voters_bound.pass(now).is_some()
        {
            log::warn!(target: "group", voters = report.voters, answering = report.answering, learners:% = report.learners_text(), wanted = report.wanted, silent:? = report.silent, newcomers:? = report.newcomers; "fewer voters answer than the group should have");
        }
    }

    /// Logs the membership if it is not the one that was logged last. A leader has logged its own
    /// changes.
    fn report_membership(&mut self) {
        let members = self.replica.membership();
        if *members == self.group_reports.membership {
            return;
        }
        if self.replica.role() != replica::Role::Leader {
            let roster = Roster::new(members);
            log::info!(target: "group", entry = self.replica.membership_index().get(), voters = roster.voters.as_str(), learners = roster.learners.as_str(); "a membership change is received");
        }
        self.group_reports.membership = members.clone();
    }

    fn own_replica(&self, now: time::Monotonic) -> jobcall::OwnReplica {
        let members = self.replica.membership();
        let own = self.replica.voter();
        let kind = match members.get(own) {
            Some(member) if member.disk != self.replica.disk() => jobcall::OwnKind::Stranger,
            Some(member) if member.is_voter() => jobcall::OwnKind::Voter,
            Some(_) => jobcall::OwnKind::Learner,
            None => jobcall::OwnKind::Stranger,
        };
        jobcall::OwnReplica {
            role: self.replica.role().to_string(),
            term: self.replica.term().get(),
            kind,
            voters: members.voters().count(),
            heard: self.replica.heard_voters(now).len(),
            unsynced_for: self.replica.oldest_write_age(now).unwrap_or_default(),
            member: member_id::name(own),
        }
    }
}
