//! Decisions about batch work: placement, leases, quotas and evictions
