use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;

use super::Members;

/// Maximum number of contacts.
const MAX_CONTACTS: usize = 16;

/// Which member leads, by what the connected members say of themselves and of the group.
///
/// **Load pattern:** the leader is lost, or a link to it goes silent, while hundreds of calls wait.
/// With a connection to one member at a time, the next leader would be found only after the
/// time-outs of those that were tried before it. So every member is connected, and the first one
/// that says that it leads is used at once. A member that was the leader may believe so for longer;
/// the newest claim counts.
#[derive(Debug, Default)]
pub struct Directory {
    views: BTreeMap<Ipv4Addr, Members>,
    /// Members that say that they lead, the newest claim last.
    claims: Vec<Ipv4Addr>,
    /// Addresses of all members, as last known; used while no connected member names any.
    all: Vec<Ipv4Addr>,
    /// Addresses of members that are known otherwise, the newest last.
    contacts: VecDeque<Ipv4Addr>,
}

impl Directory {
    /// Returns the connected member that was the last to say that it leads.
    #[must_use]
    pub fn leader(&self) -> Option<Ipv4Addr> {
        self.claims.last().copied()
    }

    /// Returns the leader and all members, as far as they are known.
    #[must_use]
    pub fn members(&self) -> Members {
        Members { leader: self.leader(), all: self.all.clone() }
    }

    /// Returns the addresses of all members: those that the leader names, as a member that is behind
    /// may name others; without a leader, those that any connected member names.
    fn named_members(&self) -> Vec<Ipv4Addr> {
        let of_leader = self.leader().and_then(|leader| self.views.get(&leader));
        let mut all: Vec<Ipv4Addr> = match of_leader {
            Some(members) => members.all.clone(),
            None => self.views.values().flat_map(|members| members.all.iter().copied()).collect(),
        };
        all.sort_unstable();
        all.dedup();
        all
    }

    fn update_members(&mut self) {
        let named = self.named_members();
        if !named.is_empty() {
            self.all = named;
        }
    }

    /// Adds the address of a member that is known otherwise than from a connection to it; only the
    /// newest contacts are kept.
    pub fn add_contact(&mut self, address: Ipv4Addr) {
        if self.contacts.back() == Some(&address) {
            return;
        }
        self.contacts.retain(|contact| *contact != address);
        self.contacts.push_back(address);
        if self.contacts.len() > MAX_CONTACTS {
            self.contacts.pop_front();
        }
    }

    /// Returns what each connected member says about the group.
    pub fn views(&self) -> impl Iterator<Item = (Ipv4Addr, &Members)> + '_ {
        self.views.iter().map(|(member, members)| (*member, members))
    }

    /// Handles what a connected member says about the group; returns whether the leader changed.
    pub fn heard(&mut self, from: Ipv4Addr, members: Members) -> bool {
        let before = self.leader();
        let claims = members.leader == Some(from);
        let claimed = self.claims.contains(&from);
        if claims != claimed {
            self.claims.retain(|member| *member != from);
        }
        if claims && !claimed {
            self.claims.push(from);
        }
        self.views.insert(from, members);
        self.update_members();
        self.leader() != before
    }

    /// Handles the end of the connection to a member; returns whether the leader changed.
    pub fn lost(&mut self, from: Ipv4Addr) -> bool {
        let before = self.leader();
        self.views.remove(&from);
        self.claims.retain(|member| *member != from);
        self.update_members();
        self.leader() != before
    }

    /// Returns the addresses to connect to: those in `seeds`, all members, leaders that members
    /// name, and contacts while no leader is connected.
    #[must_use]
    pub fn addresses(&self, seeds: &[Ipv4Addr]) -> Vec<Ipv4Addr> {
        let named = self.views.values().filter_map(|members| members.leader);
        let contacts = self.contacts.iter().filter(|_| self.leader().is_none());
        let known = self.all.iter().chain(contacts).copied();
        let mut addresses: Vec<Ipv4Addr> =
            seeds.iter().copied().chain(known).chain(named).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
