use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::slow_sync::SlowSync;
use crate::platform::group_bed::GroupBed;
use crate::platform::standin;

const VOTERS: usize = 5;
/// Times for which the machines are down that lose their disks first.
const FIRST_DARK: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(400)];
/// Time for which the machines are down that are lost at the end.
const LAST_DARK: Duration = Duration::from_millis(200);
/// Time for which a machine counts as lost after it is back.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time from the return of a machine to the loss of the leader.
const LEADER_LOST_AFTER: Duration = Duration::from_millis(500);
/// Time for which the leader is down.
const LEADER_DARK: Duration = Duration::from_secs(1);

/// Five schedulers, one of which comes back with an empty and slow disk.
pub(super) struct SlowReturn {
    bed: GroupBed,
    slow_sync: SlowSync,
    /// Machines that lost their disks first; the syncs of the first one are slow.
    returned: Vec<usize>,
    back_at: Instant,
    /// Version of the routes that was acknowledged last.
    version: u64,
}

impl SlowReturn {
    /// Starts the schedulers, and waits until all know five voters and the routes.
    pub(super) fn start() -> Self {
        let mut bed = GroupBed::empty(VOTERS, "");
        for _ in 0..VOTERS {
            bed.add();
        }
        bed.wait("five voters", || (0..VOTERS).all(|member| bed.voters(member).len() == VOTERS));
        let slow_sync = SlowSync::build(bed.folder());
        let mut slow_return =
            Self { bed, slow_sync, returned: Vec::new(), back_at: Instant::now(), version: 0 };
        slow_return.wait_for_commit();
        slow_return
    }

    /// Two machines lose their disks at once, and come back soon.
    pub(super) fn lose_two_disks(&mut self, with_leader: bool) {
        let leader = self.bed.wait_for_leader();
        let order = (0..VOTERS).map(|step| (leader + step) % VOTERS);
        self.lose_disks(order.skip(usize::from(!with_leader)).take(2).collect());
    }

    /// A follower loses its disk, and comes back soon.
    pub(super) fn lose_one_disk(&mut self) {
        let leader = self.bed.wait_for_leader();
        self.lose_disks(vec![(leader + 1) % VOTERS]);
    }

    fn lose_disks(&mut self, members: Vec<usize>) {
        members.iter().for_each(|member| self.bed.signal(*member, Signal::SIGKILL));
        members.iter().for_each(|member| self.bed.wipe(*member));
        self.bed.set_variables(members[0], self.slow_sync.variables());
        let lost_at = Instant::now();
        for (member, dark) in members.iter().zip(FIRST_DARK) {
            thread::sleep(dark.saturating_sub(lost_at.elapsed()));
            self.bed.run_later(*member);
        }
        self.back_at = Instant::now();
        self.returned = members;
    }

    /// Kills the leader while a machine comes back, and starts it again with its data.
    pub(super) fn change_leader(&mut self) {
        thread::sleep(LEADER_LOST_AFTER);
        let leader = self.bed.wait_for_leader();
        self.bed.kill(leader);
        thread::sleep(LEADER_DARK);
        self.bed.run_later(leader);
        self.back_at = Instant::now();
    }

    /// Waits until no machine counts as lost.
    pub(super) fn catch_up(&self) {
        thread::sleep(CATCH_UP.saturating_sub(self.back_at.elapsed()));
    }

    /// The leader and another of the machines that have not been lost yet lose their disks; with `all`,
    /// the others lose power and keep their data.
    pub(super) fn lose_leader_and_another(&mut self, all: bool) {
        let leader = self.bed.wait_for_leader();
        let is_other = |member: &usize| *member != leader && !self.returned.contains(member);
        let other = (0..VOTERS).find(is_other).expect("a machine that was not lost");
        let is_kept = |member: &usize| ![leader, other].contains(member);
        let killed: Vec<usize> = (0..VOTERS).filter(is_kept).filter(|_| all).collect();
        let lost = killed.iter().copied().chain([leader, other]);
        lost.clone().for_each(|member| self.bed.signal(member, Signal::SIGKILL));
        [leader, other].into_iter().for_each(|member| self.bed.wipe(member));
        killed.iter().for_each(|member| self.bed.kill(*member));
        thread::sleep(LAST_DARK);
        lost.for_each(|member| self.bed.run_later(member));
    }

    /// Waits until the group acknowledges a change, and shows it.
    pub(super) fn wait_for_commit(&mut self) {
        let began = Instant::now();
        self.version += 1;
        let version = self.version;
        let mut controls = (0..VOTERS).map(|member| self.bed.control(member)).cycle();
        self.bed.wait("a change of the routes", || {
            standin::put_routes(controls.next().expect("endless"), version, "jobs")
        });
        let has_leader = || self.bed.leader().is_some();
        self.bed.wait("a leader", has_leader);
        eprintln!("slow return: a commit after {:.1?}", began.elapsed());
    }

    /// Checks that each of five machines has a vote that counts.
    pub(super) fn expect_five_votes(&self) {
        let leader = self.bed.wait_for_leader();
        let voters = self.bed.voters(leader);
        let votes = voters.iter().filter(|member| self.bed.votes(**member)).count();
        assert_eq!(votes, VOTERS, "voters {voters:?}\n{}", self.bed.logs());
    }
}
