use std::cell::Cell;
use std::rc::Rc;

/// Point between an attempt and its request: either sending begins or it never will.
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
    /// Begins sending, unless the request gave up before.
    pub(super) fn begin(&self) -> bool {
        self.pass(State::Begun)
    }

    /// Gives the attempt up, unless sending has begun.
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
