use comfreymill_types::time;
use comfreymill_types::yaml;

settings_group! {
    /// Durations of the protocols between processes.
    pub struct Timing {
        /// Interval between two heartbeats.
        heartbeat, get_heartbeat: time::Span = time::Span::from_millis(60);
        /// Time without a message from the leader after which a voter starts an election.
        election, get_election: time::Span = time::Span::from_millis(300);
        /// Duration of leases and grants.
        lease, get_lease: time::Span = time::Span::from_secs(5);
        /// Maximum time for which a stopping process waits for its open requests.
        drain, get_drain: time::Span = time::Span::from_secs(60);
        /// Maximum drift between the clocks of two VMs.
        clock_drift, get_clock_drift: time::Drift = time::Drift::from_ppm(1_000);
    }
}

impl Timing {
    pub(super) fn read(section: &yaml::Section<'_>) -> Self {
        let timing = Self::read_values(section);
        let [heartbeat, election, lease] =
            [timing.heartbeat, timing.election, timing.lease].map(time::Span::get_duration);
        if heartbeat.is_zero() {
            section.problem("heartbeat", "must be greater than 0s");
        }
        if election < heartbeat * 3 {
            section.problem("election", "is less than 3 heartbeats");
        }
        if lease < election {
            section.problem("lease", "is less than the election time");
        }
        section.finish();
        timing
    }
}
