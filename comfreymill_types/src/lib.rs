//! Domain types of comfreymill: ids, sizes, times, errors and environment documents
