use super::*;

#[test]
fn omitted_settings_keep_defaults_and_errors_name_the_field() {
    assert_eq!(OperatorSettings::parse("").unwrap(), OperatorSettings::default());
    let settings = OperatorSettings::parse("pools_per_job = 3\nidle_return_s = 12.5\n").unwrap();
    assert_eq!((settings.pools_per_job, settings.idle_return_s), (Some(3), Some(12.5)));
    let retention = OperatorSettings::parse("history {\n  days = 30\n}\n").unwrap().history;
    assert_eq!(retention, Some(HistoryRetention { days: 30.0, ..HistoryRetention::default() }));
    for (text, field) in [
        ("pools_per_job = 0", "pools_per_job"),
        ("reading_ms = 5", "reading_ms"),
        ("usual_wait_s = \"long\"", "usual_wait_s"),
        ("idle_retrun_s = 3", "idle_retrun_s"),
        ("refuse_after = 0.5", "refuse_after"),
        ("admission = false\nrefuse_after = 2", "refuse_after"),
        ("history {\n  jobs = 5\n}", "history.jobs"),
        ("history {\n  days = 0\n}", "history.days"),
        ("history {\n  weeks = 2\n}", "weeks"),
        ("weights { uploads = 2 }", "origin_gb_per_s"),
        ("weights { origin_gb_per_s = 0 }", "weights.origin_gb_per_s"),
        ("weights {\n origin_gb_per_s = 10\n uploads = 0\n}", "weights.uploads"),
        ("weights {\n origin_gb_per_s = 10\n upload = 1\n}", "upload"),
    ] {
        let error = OperatorSettings::parse(text).unwrap_err().to_string();
        assert!(!error.contains('\n'), "{error}");
        assert!(error.contains(field) || error.contains("expected"), "{text}: {error}");
    }
    let text = include_str!("../../../../deploy/weights.hcl");
    let image_distribution =
        OperatorSettings::parse(text).unwrap().image_distribution.expect("a block");
    assert_eq!(
        (
            image_distribution.origin_gb_per_s,
            image_distribution.uploads,
            image_distribution.hand_on
        ),
        (10.0, 2, true)
    );
}
