use std::fmt;
use std::str;

use comfreymill_types::error;

/// Change to a voter of the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoterChange {
    /// Adds the voter as a learner, which receives the log without a vote.
    Add,
    /// Promotes the learner to a voter.
    Promote,
    /// Removes the voter from the group.
    Remove,
}

impl fmt::Display for VoterChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Add => "add",
            Self::Promote => "promote",
            Self::Remove => "remove",
        })
    }
}

impl str::FromStr for VoterChange {
    type Err = error::Error;

    fn from_str(text: &str) -> Result<Self, error::Error> {
        match text {
            "add" => Ok(Self::Add),
            "promote" => Ok(Self::Promote),
            "remove" => Ok(Self::Remove),
            _ => {
                let message = format!("`{text}` is not a change: write add, promote or remove");
                Err(error::Error::new(error::ErrorKind::BadRequest, message).field("change"))
            }
        }
    }
}
