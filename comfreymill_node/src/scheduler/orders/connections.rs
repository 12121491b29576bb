//! Bounds on the connections to workers.
//!
//! Load pattern: there are more workers than the process may have connections. Each worker is
//! polled all the time while tasks run on it, so polls would take every connection, and no order
//! could be sent. Beyond their share, polls and orders therefore wait in turn for a connection, and
//! close theirs after use.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future;
use std::rc::Rc;
use std::task;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Use {
    /// Polls, without which a worker's lease expires.
    Polls,
    /// Starts, stops and paces.
    Orders,
}

/// Number of open connections to workers and its bound, shared by all delivery tasks.
#[derive(Clone, Debug)]
pub(super) struct Connections {
    polls: Rc<Share>,
    orders: Rc<Share>,
    most: usize,
}

/// Connections for one use.
#[derive(Debug, Default)]
struct Share {
    open: Cell<usize>,
    /// Tasks that wait for a connection, longest wait first.
    waiting: RefCell<VecDeque<task::Waker>>,
}

/// One open connection; it is counted until it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    share: Rc<Share>,
}

impl Connections {
    /// Creates the count with a bound of `most` connections.
    pub(super) fn new(most: usize) -> Self {
        Self { polls: Rc::default(), orders: Rc::default(), most }
    }

    /// Returns how many connections for orders each of `workers` workers may have, beside the one
    /// for polls: a second one lets orders to distant workers overlap.
    pub(super) fn orders_per_worker(&self, workers: usize) -> usize {
        if workers.saturating_mul(3) <= self.most { 2 } else { 1 }
    }

    /// Waits until a connection may be opened, and counts it.
    pub(super) async fn open(&self, of: Use) -> Permit {
        let share = self.share(of);
        future::poll_fn(|cx| {
            if share.open.get() < self.most_for(of) {
                share.open.set(share.open.get() + 1);
                return task::Poll::Ready(());
            }
            share.waiting.borrow_mut().push_back(cx.waker().clone());
            task::Poll::Pending
        })
        .await;
        Permit { share: Rc::clone(share) }
    }

    /// Returns whether connections should be closed after use, so that others can be opened.
    pub(super) fn is_scarce(&self, of: Use) -> bool {
        let most = self.most_for(of);
        let share = self.share(of);
        share.open.get() > most - (most / 8).max(1) || !share.waiting.borrow().is_empty()
    }

    fn share(&self, of: Use) -> &Rc<Share> {
        match of {
            Use::Polls => &self.polls,
            Use::Orders => &self.orders,
        }
    }

    /// Returns the maximum number of connections for a use: two thirds for polls, and for orders
    /// what polls leave.
    fn most_for(&self, of: Use) -> usize {
        let most_polls = (self.most * 2 / 3).max(1);
        let most = match of {
            Use::Polls => most_polls,
            Use::Orders => self.most.saturating_sub(self.polls.open.get().min(most_polls)),
        };
        most.max(1)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.share.open.set(self.share.open.get().saturating_sub(1));
        if let Some(waker) = self.share.waiting.borrow_mut().pop_front() {
            waker.wake();
        }
    }
}
