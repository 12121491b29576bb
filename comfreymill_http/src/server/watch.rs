use std::{cell, collections, future, rc, task};

#[derive(Debug)]
struct Shared<T>
where
    T: Copy,
{
    value: cell::Cell<T>,
    wakers: cell::RefCell<collections::HashMap<u64, task::Waker>>,
    next_id: cell::Cell<u64>,
}

/// A shared value whose changes the tasks of one thread can wait for.
#[derive(Debug)]
pub(super) struct Watch<T>
where
    T: Copy,
{
    shared: rc::Rc<Shared<T>>,
}

impl<T> Clone for Watch<T>
where
    T: Copy,
{
    fn clone(&self) -> Self {
        Self { shared: rc::Rc::clone(&self.shared) }
    }
}

impl<T> Watch<T>
where
    T: Copy,
{
    pub(super) fn new(value: T) -> Self {
        Self {
            shared: rc::Rc::new(Shared {
                value: cell::Cell::new(value),
                wakers: cell::RefCell::default(),
                next_id: cell::Cell::new(0),
            }),
        }
    }

    pub(super) fn get(&self) -> T {
        self.shared.value.get()
    }

    /// Sets the value and wakes every waiting task.
    pub(super) fn set(&self, value: T) {
        self.shared.value.set(value);
        let wakers = self.shared.wakers.take();
        for (_, waker) in wakers {
            waker.wake();
        }
    }

    /// Waits until the value satisfies the predicate, and returns it.
    pub(super) async fn until<P>(&self, predicate: P) -> T
    where
        P: Fn(T) -> bool,
    {
        let waiter = Waiter::new(&self.shared);
        future::poll_fn(|cx| {
            let value = self.get();
            if predicate(value) {
                return task::Poll::Ready(value);
            }
            waiter.register(cx);
            task::Poll::Pending
        })
        .await
    }
}

/// Registration of one waiting task, removed when this is dropped.
struct Waiter<'w, T>
where
    T: Copy,
{
    shared: &'w Shared<T>,
    id: u64,
}

impl<'w, T> Waiter<'w, T>
where
    T: Copy,
{
    fn new(shared: &'w Shared<T>) -> Self {
        let id = shared.next_id.get();
        shared.next_id.set(id.wrapping_add(1));
        Self { shared, id }
    }

    fn register(&self, cx: &task::Context<'_>) {
        self.shared.wakers.borrow_mut().insert(self.id, cx.waker().clone());
    }
}

impl<T> Drop for Waiter<'_, T>
where
    T: Copy,
{
    fn drop(&mut self) {
        self.shared.wakers.borrow_mut().remove(&self.id);
    }
}
