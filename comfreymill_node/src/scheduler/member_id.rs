//! Ids of members, which hold their addresses.

use std::net::Ipv4Addr;

use comfreymill_group::id;

const LIFE_BITS: u32 = 32;

/// Id of a member that founds a group; it is the same wherever the address is known.
pub(super) fn founder(address: Ipv4Addr) -> id::VoterId {
    id::VoterId::new(u64::from(u32::from(address)) << LIFE_BITS)
}

/// Id of a member that joins a group with an empty folder: never one that was used before.
pub(super) fn newcomer(address: Ipv4Addr) -> id::VoterId {
    let life = rand::random::<u32>().max(1);
    id::VoterId::new(founder(address).get() | u64::from(life))
}

/// Address of a member.
pub(super) fn address(member: id::VoterId) -> Ipv4Addr {
    let high = u32::try_from(member.get() >> LIFE_BITS).unwrap_or_default();
    Ipv4Addr::from(high)
}
