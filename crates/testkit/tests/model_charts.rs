//! Guards against specifications in `model/` that use other transitions than the code, because a
//! chart was changed and its Promela form was not generated again.

use {
    sassafrasslip_testkit::promela::translate_chart,
    std::{fs, path::Path},
};

#[test]
fn generated_models_match_the_charts() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let charts = fs::read_dir(root.join("crates/core/charts")).unwrap();
    let charts = charts.map(|entry| entry.unwrap().path());
    for chart in charts.filter(|path| path.extension().is_some_and(|name| name == "ini")) {
        let name = chart.file_stem().unwrap().to_str().unwrap();
        let generated = root.join(format!("model/generated/{name}.pml"));
        let expected = translate_chart(&fs::read_to_string(&chart).unwrap()).unwrap();
        let found = fs::read_to_string(&generated).unwrap_or_default();
        assert_eq!(
            found, expected,
            "run scripts/check-model.sh --generate ({name})"
        );
    }
}

#[test]
fn ignored_events_are_distinguished_from_events_without_an_action() {
    let chart =
        "[chart]\nname = lamp\ninitial = off\n[off]\npress = on / light\n[on]\npress = off\n";
    let model = translate_chart(chart).unwrap();
    assert!(model.contains("state = lamp_state_off; action = lamp_no_action"));
    assert!(model.contains(":: else -> action = lamp_ignored"));
}
