//! Replicated log of a group of voters: agreement, log files and snapshots
