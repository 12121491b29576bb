//! State that a group replicates: documents, jobs, attempts, requests and grants
