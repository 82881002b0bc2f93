package org.currantslip.core.rules;

/** Sample rules of every kind. */
final class RulesSamples {
  static final String ALL =
      """
      # Every kind of rule once.
      allow account=a task=t model=m version=* # Ana: may use m
      allow account=a service=s # Ana: may use s
      serve model=m version=v1 # Ana: in service
      rollout model=m version=v2 stage=1 share=0.5% min_requests=20 # Bo Li: first look
      rollout model=m version=v2 stage=2 share=1 min_requests=20 # Bo Li: all
      rollout model=m version=v4 stage=1 share=10% min_requests=0 # Bo Li: next
      pause model=m version=v2 # Ana: wait
      resume model=m version=v4 stage=1 # Ana: go on
      withdraw model=m version=v3 # Ana: bad
      once account=* service=s method=POST path=/bookings # Ana: never twice
      tier account=* task=t model=m order=1 # Ana: only one
      price model=m version=* prompt_micros_per_ktok=3 completion_micros_per_ktok=9 # Fin: list
      quality account=* task=t target=95% # Ana: agreed
      limit account=a requests_per_s=50 tokens_per_s=20000.5 burst_s=2 # Ana: fair
      level account=a task=t availability=99.9% latency_ms=550 # Ana: promise
      """;

  private RulesSamples() {}
}
