//! Changes of the membership, decided by the planner and made by replicas.

mod bed;
mod reports;
mod returned_disks;
mod review;
mod windows;
