use crate::schedule::node::Node;
use crate::schedule::profile::Profile;
use crate::schedule::world::World;
use comfreymill_group::{id, membership, replica};
use rand::RngExt;

impl World {
    /// Does one random operation of the profile, and advances time by up to 40 ms.
    pub(crate) fn step(&mut self) {
        let is_elected = self.has_new_leader();
        self.restart_added_voter();
        match self.profile {
            Profile::FewFaults if self.rng.random_range(0..100) < 70 => self.propose_somewhere(),
            Profile::FewCommands => self.disturb_with_few_commands(),
            Profile::ContestedElections if is_elected => self.restart_after_election(),
            Profile::ContestedElections if self.rng.random_range(0..100) < 20 => {
                self.provoke_contested_election();
            }
            _ => self.do_random_operation(),
        }
        let micros = self.rng.random_range(0..40_000);
        self.advance(micros);
    }

    fn do_random_operation(&mut self) {
        match self.rng.random_range(0..100) {
            0..40 => self.propose_somewhere(),
            40..44 => self.crash_one(),
            44..52 => self.restart_one(),
            52..56 => self.cut_some(),
            56..62 => self.network.heal(),
            62..66 => self.disturb(),
            66..72 => self.snapshot_one(),
            72..82 => self.change_membership(),
            82..84 => self.transfer(),
            84..86 => self.lose_disk(),
            86..88 => self.add_node(),
            88..90 => self.stall_one(),
            _ => {}
        }
    }

    /// Cuts links and restarts replicas, with few commands.
    fn disturb_with_few_commands(&mut self) {
        match self.rng.random_range(0..100) {
            0..3 => self.propose_somewhere(),
            3..9 => self.cut_some(),
            9..12 => self.network.heal(),
            12..18 => {
                let position = self.any_node();
                self.crash(position);
                self.start(position);
            }
            18..20 => self.transfer(),
            20..22 => self.start_all(),
            22..27 => self.stall_one(),
            _ => {}
        }
    }

    /// Slows disks and messages down, crashes the leader or restarts stopped nodes, so that several
    /// candidates compete.
    fn provoke_contested_election(&mut self) {
        match self.rng.random_range(0..3) {
            0 => {
                self.network.heal();
                self.network.slow_percent = self.rng.random_range(0..20);
                self.network.loss_percent = self.rng.random_range(0..50);
                self.network.delay_max_micros = 30_000;
                self.sync_max_micros = self.rng.random_range(20_000..200_000);
            }
            1 => {
                let position = self.leader().unwrap_or(0);
                self.crash(position);
            }
            _ => self.start_all(),
        }
    }

    /// Returns whether a leader was elected since the previous call.
    fn has_new_leader(&mut self) -> bool {
        let elections = self.checker.coverage.get("elections");
        elections > std::mem::replace(&mut self.seen_elections, elections)
    }

    /// Restarts some nodes right after an election, so that they lose their unsynced writes, and
    /// isolates another.
    fn restart_after_election(&mut self) {
        let isolated = self.any_node();
        self.network.cuts.clear();
        for position in 0..self.nodes.len() {
            if position == isolated {
                self.isolate(position);
            } else if self.rng.random_bool(0.6) {
                self.crash_without_unsynced(position);
                self.start(position);
            }
        }
    }

    /// Restarts a replica that was added as a voter a while ago, often before its first write is synced, and
    /// cuts the leader off from some others.
    fn restart_added_voter(&mut self) {
        let Some(voter) = self.added_voter else { return };
        if !self.rng.random_bool(0.2) {
            return;
        }
        self.added_voter = None;
        let Some(position) = self.nodes.iter().position(|node| node.voter == voter) else { return };
        if self.rng.random_bool(0.5) {
            self.cut_some();
        }
        self.crash_without_unsynced(position);
        self.start(position);
        if self.rng.random_bool(0.3) {
            self.isolate_leader_from(voter);
        }
    }

    fn isolate_leader_from(&mut self, voter: id::VoterId) {
        let Some(position) = self.leader() else { return };
        let leader = self.nodes[position].voter;
        self.network.cuts.extend([(leader, voter), (voter, leader)]);
    }

    fn isolate(&mut self, position: usize) {
        let one = self.nodes[position].voter;
        for node in &self.nodes {
            self.network.cuts.insert((one, node.voter));
            self.network.cuts.insert((node.voter, one));
        }
    }

    fn start_all(&mut self) {
        for position in 0..self.nodes.len() {
            if self.nodes[position].replica.is_none() {
                self.start(position);
            }
        }
    }

    /// Restarts all nodes that are down or halted, and resumes those that are stalled.
    pub(crate) fn start_stopped(&mut self) {
        for position in 0..self.nodes.len() {
            self.nodes[position].stalled_until = self.now;
            if !self.nodes[position].is_running() {
                self.crash(position);
                self.start(position);
            }
        }
    }

    /// Returns the position of the leader with the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| {
            let replica = node.replica.as_ref().filter(|_| !node.halted)?;
            (replica.role() == replica::Role::Leader).then(|| replica.term())
        };
        let positions = 0..self.nodes.len();
        positions
            .filter(|position| leads(&self.nodes[*position]).is_some())
            .max_by_key(|position| leads(&self.nodes[*position]))
    }

    fn any_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    fn propose_somewhere(&mut self) {
        let any = self.any_node();
        let position = self.leader().filter(|_| !any.is_multiple_of(4)).unwrap_or(any);
        self.propose(position);
    }

    fn crash_one(&mut self) {
        let any = self.any_node();
        let position = self.leader().filter(|_| any.is_multiple_of(2)).unwrap_or(any);
        self.crash(position);
    }

    /// Stops a process from running for up to 1.5 seconds while its clock advances.
    fn stall_one(&mut self) {
        let any = self.any_node();
        let position = self.leader().filter(|_| any.is_multiple_of(2)).unwrap_or(any);
        let micros = self.rng.random_range(0..1_500_000);
        self.nodes[position].stalled_until = self.now + micros;
        self.checker.coverage.count("stalls", 1);
    }

    fn restart_one(&mut self) {
        let position = self.any_node();
        if self.nodes[position].replica.is_none() {
            self.start(position);
        }
    }

    fn cut_some(&mut self) {
        let voters: Vec<_> = self.nodes.iter().map(|node| node.voter).collect();
        let one = voters[self.any_node()];
        let one = self.leader().map_or(one, |position| self.nodes[position].voter);
        let kind = self.rng.random_range(0..3);
        for other in voters {
            if kind == 2 && self.rng.random_bool(0.5) {
                continue;
            }
            if kind != 1 {
                self.network.cuts.insert((one, other));
            }
            if kind != 0 {
                self.network.cuts.insert((other, one));
            }
        }
    }

    fn disturb(&mut self) {
        self.network.loss_percent = self.rng.random_range(0..30);
        self.network.duplicate_percent = self.rng.random_range(0..30);
        self.network.slow_percent = self.rng.random_range(0..20);
        self.network.delay_max_micros = self.rng.random_range(1_000..60_000);
        self.sync_max_micros = self.rng.random_range(0..40_000);
    }

    fn snapshot_one(&mut self) {
        let position = self.any_node();
        let node = &mut self.nodes[position];
        let machine = node.machine;
        if let Some(replica) = &mut node.replica {
            replica.snapshot_taken(machine.index, machine.to_bytes());
            self.perform(position);
        }
    }

    fn transfer(&mut self) {
        let Some(position) = self.leader() else { return };
        let clock = self.nodes[position].clock(self.now);
        let Some(replica) = &mut self.nodes[position].replica else { return };
        if let Some(to) = replica.best_successor() {
            replica.transfer_leadership(clock, to).expect("a leader with another voter");
            self.checker.coverage.count("transfers", 1);
            self.perform(position);
        }
    }

    /// Makes a membership change that leaves a quorum of the voters with their disks.
    fn change_membership(&mut self) {
        let Some(position) = self.leader() else { return };
        let Some(change) = self.choose_change(position) else { return };
        let clock = self.nodes[position].clock(self.now);
        let Some(replica) = &mut self.nodes[position].replica else { return };
        let before = replica.membership().clone();
        if replica.change_membership(clock, change).is_ok() {
            let after = replica.membership();
            let differing =
                before.iter().filter(|(voter, member)| after.get(*voter) != Some(*member));
            let added = after.iter().filter(|(voter, _)| before.get(*voter).is_none());
            assert_eq!(differing.count() + added.count(), 1, "more than one member changed");
            self.checker.coverage.count("changes", 1);
            if let membership::Change::AddVoter(voter) = change {
                self.checker.coverage.count("added voters", 1);
                self.added_voter = Some(voter);
            }
            let is_promotion = matches!(change, membership::Change::Promote(_));
            self.checker.coverage.count("promotions", u64::from(is_promotion));
        }
        self.perform(position);
    }

    fn choose_change(&mut self, position: usize) -> Option<membership::Change> {
        let replica = self.nodes[position].replica.as_ref()?;
        let members = replica.membership().clone();
        let newcomers = replica.newcomers(self.nodes[position].clock(self.now));
        let learner = members.iter().find(|(_, member)| !member.is_voter()).map(|(voter, _)| voter);
        let lost = members.iter().find(|(voter, member)| !self.has_disk(*voter, member.disk));
        let lost = lost.map(|(voter, _)| voter);
        if let Some(voter) = lost.filter(|voter| self.keeps_quorum(&members.without(*voter))) {
            return Some(membership::Change::Remove(voter));
        }
        let roll = self.rng.random_range(0..4);
        match (roll, learner, newcomers.first()) {
            (0, _, _) if members.voters().count() > 3 => {
                let voters: Vec<_> = members.voters().collect();
                let voter = voters[self.rng.random_range(0..voters.len())];
                let keeps = self.keeps_quorum(&members.without(voter));
                keeps.then_some(membership::Change::Remove(voter))
            }
            (1 | 2, Some(voter), _) if self.keeps_quorum(&members.with_promoted(voter)) => {
                Some(membership::Change::Promote(voter))
            }
            (2 | 3, _, Some(newcomer)) if !members.quorum_grows_by_voter() => {
                Some(membership::Change::AddVoter(newcomer.voter))
            }
            (_, _, Some(newcomer)) => Some(membership::Change::AddLearner(newcomer.voter)),
            _ => None,
        }
    }

    /// Returns whether the disk `disk` of `voter` still exists.
    pub(crate) fn has_disk(&self, voter: id::VoterId, disk: id::DiskId) -> bool {
        self.nodes.iter().any(|node| node.voter == voter && node.durable.disk == disk)
    }

    fn keeps_quorum(&self, members: &membership::Membership) -> bool {
        let voters = members.iter().filter(|(_, member)| member.is_voter());
        let present = voters.filter(|(voter, member)| self.has_disk(*voter, member.disk)).count();
        present >= members.quorum()
    }

    /// Replaces a node's disk by an empty one, and starts its replica with `start_after_loss`.
    fn lose_disk(&mut self) {
        let position = self.any_node();
        if !self.may_lose_disk(position) {
            return;
        }
        self.lost_disks += 1;
        self.checker.coverage.count("lost disks", 1);
        self.crash(position);
        let disk = self.fresh_disk();
        let voter = self.nodes[position].voter;
        let start = self.start_after_loss(position);
        self.nodes[position] = Node::new(voter, disk, start);
        self.start(position);
    }

    /// Returns how a replica starts after its disk was lost: as before, unless no other first voter
    /// is left that could refuse it.
    fn start_after_loss(&self, position: usize) -> replica::Start {
        let peers: Vec<_> = self.nodes.iter().map(|node| node.voter).collect();
        let old = &self.nodes[position].start;
        let is_founder_left = old.peers().iter().any(|founder| {
            let disk = id::DiskId::new(founder.get() * 1000);
            *founder != self.nodes[position].voter && self.has_disk(*founder, disk)
        });
        if is_founder_left { old.clone() } else { replica::Start::Join { peers } }
    }

    /// Returns whether a quorum of every replica's membership is left without this disk, also of the committed
    /// one and of those on the disks, which count again after a crash.
    fn may_lose_disk(&self, position: usize) -> bool {
        let lost = self.nodes[position].voter;
        let keeps = |members: &membership::Membership| {
            let voters = members.iter().filter(|(voter, member)| {
                member.is_voter() && *voter != lost && self.has_disk(*voter, member.disk)
            });
            members.is_empty() || voters.count() >= members.quorum()
        };
        let is_founded = self.checker.committed_index() > id::Index::new(1);
        is_founded
            && self.lost_disks < 2
            && self.checker.newest_membership().is_some_and(keeps)
            && self.nodes.iter().all(|node| {
                let Some(replica) = &node.replica else { return false };
                keeps(replica.membership()) && node.durable_membership().is_none_or(keeps)
            })
    }

    fn add_node(&mut self) {
        if self.nodes.len() >= 8 {
            return;
        }
        let voter = id::VoterId::new(self.next_voter);
        self.next_voter += 1;
        let disk = self.fresh_disk();
        let peers = self.nodes.iter().map(|node| node.voter).collect();
        self.nodes.push(Node::new(voter, disk, replica::Start::Join { peers }));
        self.start(self.nodes.len() - 1);
    }

    fn fresh_disk(&mut self) -> id::DiskId {
        self.next_disk += 1;
        id::DiskId::new(1_000_000 + self.next_disk)
    }
}
