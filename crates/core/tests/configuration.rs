//! Tests the catalogue of default settings and the precedence of exceptions.

use {
    sassafrasslip_core::configuration::{
        ConfigurationSnapshot, ExceptionScope, PolicyException, SettingContext, SettingKey,
        SettingValue,
    },
    sassafrasslip_testkit::test_cases,
};

fn check_value(key: SettingKey, text: &str, expected: Option<u64>) {
    assert_eq!(
        key.parse_value(text).ok().map(SettingValue::as_number),
        expected
    );
}

test_cases! {
    fn check_value(key: SettingKey, text: &str, expected: Option<u64>);
    number_without_unit_is_accepted: (SettingKey::QueueWait, "250", Some(250));
    unit_of_the_setting_is_accepted: (SettingKey::QueueWait, "250 ms", Some(250));
    other_unit_is_refused: (SettingKey::QueueWait, "2 s", None);
    value_below_the_range_is_refused: (SettingKey::TeamConcurrency, "0", None);
    retry_budget_above_ten_percent_is_refused: (SettingKey::RetryBudget, "11", None);
    choice_is_accepted: (SettingKey::Affinity, "off", Some(1));
    unknown_choice_is_refused: (SettingKey::Affinity, "maybe", None);
}

#[test]
fn initial_values_are_valid() {
    for key in SettingKey::ALL {
        assert!(key.parse_value(key.initial()).is_ok(), "{key}");
    }
}

fn exception(id: &str, scope: &str, value: &str) -> PolicyException {
    PolicyException {
        id: id.parse().unwrap(),
        scope: scope.parse().unwrap(),
        key: SettingKey::TargetConcurrency,
        value: value.to_owned(),
        reason: "test".to_owned(),
        operator: "tester".parse().unwrap(),
    }
}

#[test]
fn most_specific_exception_wins() {
    let mut snapshot = ConfigurationSnapshot::default();
    for exception in [
        exception("a", "availability_zone=ruwi", "10"),
        exception("b", "team=shop", "20"),
        exception("c", "target=t1", "30"),
    ] {
        snapshot.exceptions.insert(exception.id.clone(), exception);
    }
    let (zone, team, target) = (
        "ruwi".parse().unwrap(),
        "shop".parse().unwrap(),
        "t1".parse().unwrap(),
    );
    let mut context = SettingContext {
        availability_zone: Some(&zone),
        ..SettingContext::default()
    };
    let resolve = |context: &SettingContext<'_>| {
        snapshot
            .resolve(SettingKey::TargetConcurrency, context)
            .value
            .as_number()
    };
    assert_eq!(resolve(&SettingContext::default()), 32);
    assert_eq!(resolve(&context), 10);
    context.team = Some(&team);
    assert_eq!(resolve(&context), 20);
    context.target = Some(&target);
    assert_eq!(resolve(&context), 30);
    assert!("zone=ruwi".parse::<ExceptionScope>().is_err());
}
