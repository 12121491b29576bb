//! Seeded sequences of events with everything going wrong.

mod disorder;
