//! Translates a state chart into a Promela model and prints it: `chart_to_promela FILE`.

use {
    sassafrasslip_testkit::promela::translate_chart,
    std::{env, error::Error, fs},
};

fn main() -> Result<(), Box<dyn Error>> {
    let file = env::args().nth(1).ok_or("usage: chart_to_promela FILE")?;
    print!("{}", translate_chart(&fs::read_to_string(file)?)?);
    Ok(())
}
