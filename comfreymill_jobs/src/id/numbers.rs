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
            /// Creates the identifier with the value `number`.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Returns the numeric value.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next higher number.
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
    /// Number of a run of a task; each start of the task gets a higher number than all before.
    Run, u32
}

number! {
    /// Fencing token of a leader; each later leader has a higher one.
    Fence, u64
}

number! {
    /// Number of a worker incarnation, assigned in the order in which the log records them.
    WorkerNumber, u32
}
