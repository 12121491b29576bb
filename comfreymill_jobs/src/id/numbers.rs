use std::fmt;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps `number`.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Number inside.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Number after this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number! {
    /// Start of a task: each start has a higher number than those before.
    Run, u32
}

number! {
    /// Fencing token of a leader: higher for each later leader.
    Fence, u64
}

number! {
    /// One life of a worker, in the order in which the group heard of them.
    WorkerNumber, u32
}
