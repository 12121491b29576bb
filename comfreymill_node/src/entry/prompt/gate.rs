use std::cell::Cell;
use std::rc::Rc;

/// Decides between an attempt that starts to send and a request that gives the attempt up.
///
/// Only the first of the two succeeds, so a request that was given up is certain not to be sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Gate(Rc<Cell<State>>);

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    #[default]
    Waiting,
    Begun,
    Abandoned,
}

impl Gate {
    /// Starts sending; returns whether the attempt had not been given up before.
    pub(super) fn begin(&self) -> bool {
        self.pass(State::Begun)
    }

    /// Gives the attempt up; returns whether sending had not started before.
    pub(super) fn abandon(&self) -> bool {
        self.pass(State::Abandoned)
    }

    fn pass(&self, to: State) -> bool {
        let is_open = self.0.get() == State::Waiting;
        if is_open {
            self.0.set(to);
        }
        is_open
    }
}
