//! Prints one line per policy for a scenario: `trial LOAD FAULT HEAT…`.
use bergamotshift_replay::*;
fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let load: Load = serde_json::from_value(args[0].clone().into()).unwrap();
    let fault: Fault = serde_json::from_value(args[1].clone().into()).unwrap();
    for policy in bergamotshift_route::policy::names() {
        for heat in &args[2..] {
            let start = std::time::Instant::now();
            let r = run(&Scenario {
                load,
                fault,
                heat: heat.parse().unwrap(),
                policy: policy.into(),
                ..Scenario::default()
            })
            .unwrap();
            println!(
                "{policy:18} {heat} n={} fail={} urg={:.4} model={:.4} ttft95={:.0} tbt95={:.1} miss={} cost={:.2} tok={:.2} cpm={:.3} rec={:.2}+{:.2} cache={:.2} fair={:.4} vmh={:.2} mv={} cr={} [{:.1}s]",
                r.requests,
                r.failed,
                r.urgent_in_target,
                r.urgent_model_in_target,
                r.first_token_p95_ms,
                r.between_tokens_p95_ms,
                r.deadline_misses,
                r.cost,
                r.tokens_in_target_millions,
                r.cost_per_million,
                r.recomputed_prompt_millions,
                r.recomputed_moved_millions,
                r.cache_share,
                r.fairness,
                r.vm_hours,
                r.moves,
                r.crashes,
                start.elapsed().as_secs_f64()
            );
        }
    }
}
