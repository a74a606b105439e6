//! Validation of submissions: required fields, types and bounds.

use cleatfold_wire::job::{JobSpec, MAX_AMOUNT, MAX_BODY, MAX_TASKS};
use serde_json::{json, Value};

fn body() -> Value {
    json!({"uid": "run-000412", "lot": "train", "equipe": "vision", "genre": "batch", "urgence": "high", "pieces": 16,
        "cores": 8.0, "cards": 1.0, "ramGb": 64.0, "gabarit": "img-07", "pullGb": 6.2, "gabaritsMachine": ["g8"],
        "site": null, "oneZone": true, "spread": false, "pretees": true, "dureePrevueS": 240.0,
        "intervalleSauvegardeS": 30.0, "dureeSauvegardeS": 4.0, "echeanceS": 900.0})
}

const MAY_BE_NULL: [&str; 3] = ["gabaritsMachine", "site", "echeanceS"];

fn is_accepted(body: &Value) -> bool {
    JobSpec::from_json(&serde_json::to_vec(body).expect("json")).is_ok()
}

fn with(field: &str, value: Value) -> Value {
    let mut changed = body();
    changed[field] = value;
    changed
}

#[test]
fn only_nullable_fields_may_be_missing() {
    assert!(is_accepted(&body()));
    let fields: Vec<String> = body().as_object().expect("an object").keys().cloned().collect();
    assert_eq!(fields.len(), 20);
    for field in fields {
        let may_be_null = MAY_BE_NULL.contains(&field.as_str());
        let mut without = body();
        without.as_object_mut().expect("an object").remove(&field);
        assert_eq!(is_accepted(&without), may_be_null, "without {field}");
        assert_eq!(is_accepted(&with(&field, Value::Null)), may_be_null, "{field}: null");
        // No field accepts an object or a list of lists.
        assert!(!is_accepted(&with(&field, json!({}))), "{field}: an object");
        assert!(!is_accepted(&with(&field, json!([[]]))), "{field}: a list of lists");
    }
}

#[test]
fn values_out_of_bounds_are_rejected() {
    for (field, good, bad) in [
        (
            "pieces",
            vec![json!(1), json!(MAX_TASKS)],
            vec![json!(0), json!(MAX_TASKS + 1), json!(-1), json!(1.5), json!("1")],
        ),
        (
            "uid",
            vec![json!("run-0")],
            vec![json!("run-"), json!("run-1/2"), json!("job-1"), json!("run--1"), json!(412)],
        ),
        ("genre", vec![json!("gang"), json!("service")], vec![json!("Batch"), json!("")]),
        ("urgence", vec![json!("best_effort")], vec![json!("urgent"), json!(1)]),
        ("oneZone", vec![json!(false)], vec![json!("true"), json!(1)]),
        ("equipe", vec![json!("x")], vec![json!(""), json!("x".repeat(201))]),
        ("gabaritsMachine", vec![json!([])], vec![json!("g8"), json!([1])]),
    ] {
        good.iter().for_each(|v| assert!(is_accepted(&with(field, v.clone())), "{field}: {v}"));
        bad.iter().for_each(|v| assert!(!is_accepted(&with(field, v.clone())), "{field}: {v}"));
    }
    for field in
        ["cores", "cards", "ramGb", "pullGb", "dureePrevueS", "dureeSauvegardeS", "echeanceS"]
    {
        assert!(
            is_accepted(&with(field, json!(0))) && !is_accepted(&with(field, json!(-0.5))),
            "{field}"
        );
        assert!(!is_accepted(&with(field, json!("1.0"))), "{field}");
        let enormous = body().to_string().replace(&body()[field].to_string(), "1e999");
        assert!(JobSpec::from_json(enormous.as_bytes()).is_err(), "{field}: 1e999");
    }
    for field in
        ["pullGb", "dureePrevueS", "intervalleSauvegardeS", "dureeSauvegardeS", "echeanceS"]
    {
        assert!(is_accepted(&with(field, json!(MAX_AMOUNT))), "{field}");
        assert!(!is_accepted(&with(field, json!(MAX_AMOUNT * 1.001))), "{field}");
    }
}

#[test]
fn body_must_be_one_json_object() {
    let text = body().to_string();
    for wrong in ["", "null", "[]", "{}", "{", "\"run-1\""] {
        assert!(JobSpec::from_json(wrong.as_bytes()).is_err(), "{wrong}");
    }
    for wrong in [format!("[{text}]"), format!("{text}{text}"), text[..text.len() - 1].to_string()]
    {
        assert!(JobSpec::from_json(wrong.as_bytes()).is_err(), "{wrong}");
    }
    assert!(JobSpec::from_json(format!(" \n{text}\n").as_bytes()).is_ok());
    let unknown = with("anything", json!({"else": [1, null]}));
    assert!(is_accepted(&unknown), "unknown fields are ignored");
    let long = with("anything", json!("x".repeat(MAX_BODY)));
    assert!(!is_accepted(&long));
}
