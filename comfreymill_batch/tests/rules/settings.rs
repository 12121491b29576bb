use comfreymill_batch::action;
use comfreymill_batch::config;

#[test]
fn policies_print_and_parse_the_same_text() {
    for policy in config::Policy::ALL {
        assert_eq!(policy.to_string().parse(), Ok(policy));
    }
    assert!("worst-fit".parse::<config::Policy>().is_err());
}

#[test]
fn shares_are_from_one_to_a_hundred_percent() {
    let table = [("1%", Some(1)), ("100%", Some(100)), ("0%", None), ("101%", None), ("50", None)];
    for (text, expected) in table {
        let parsed = text.parse::<action::Percent>().ok().map(action::Percent::get);
        assert_eq!(parsed, expected, "{text}");
    }
}
