//! Ids of members: the IPv4 address in the upper half, an incarnation in the lower half.

use std::net::Ipv4Addr;

use comfreymill_group::id;

const INCARNATION_BITS: u32 = 32;

/// Returns the id of a founding member, which can be computed from its address alone.
pub(super) fn founder(address: Ipv4Addr) -> id::VoterId {
    id::VoterId::new(u64::from(u32::from(address)) << INCARNATION_BITS)
}

/// Returns a random id for a member that joins a group with an empty data folder, so that it does
/// not reuse the id of an earlier member at the address.
pub(super) fn newcomer(address: Ipv4Addr) -> id::VoterId {
    let incarnation = rand::random::<u32>().max(1);
    id::VoterId::new(founder(address).get() | u64::from(incarnation))
}

/// Returns the address of a member and the last digits of its incarnation, for the log.
pub(super) fn name(member: id::VoterId) -> String {
    match member.get() & u64::from(u32::MAX) {
        0 => format!("{}/0", address(member)),
        incarnation => format!("{}/{:04x}", address(member), incarnation & 0xffff),
    }
}

/// Returns the address of a member.
pub(super) fn address(member: id::VoterId) -> Ipv4Addr {
    let high = u32::try_from(member.get() >> INCARNATION_BITS).unwrap_or_default();
    Ipv4Addr::from(high)
}

/// Returns whether two members have the same address, as a machine that has lost its disk and the one
/// that it was before.
pub(super) fn is_same_address(one: id::VoterId, other: id::VoterId) -> bool {
    address(one) == address(other)
}
