//! Tests of the decisions about the delivery of orders: nothing keeps a stop from its worker.

mod budget;
