//! Identifiers print as they parse, and malformed ones are rejected.

use comfreymill_jobs::id;

#[test]
fn names_print_as_they_parse() {
    let task: id::TaskId = "5c0e7a21d94b36f8.3.1.17".parse().expect("a task ID");
    assert_eq!(task.to_string(), "5c0e7a21d94b36f8.3.1.17");
    assert_eq!((task.step.occurrence, task.step.step, task.index), (3, 1, 17));
}

#[test]
fn malformed_names_are_refused() {
    let keys = ["", "5c0e7a21d94b36f", "5C0E7A21D94B36F8", "5c0e7a21d94b36f8a", "+c0e7a21d94b36f8"];
    for text in keys {
        assert!(text.parse::<id::JobKey>().is_err(), "{text}");
    }
    let tasks = ["5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.2.3", "5c0e7a21d94b36f8.0.-1.2"];
    for text in tasks {
        let error = text.parse::<id::TaskId>().expect_err(text);
        let expected = "is not a task ID of the form JOB.OCCURRENCE.STEP.INDEX";
        assert!(error.to_string().contains(expected), "{error}");
    }
}
