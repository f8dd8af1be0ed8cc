# Targets for users and developers; CONTRIBUTING.md explains each.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo fleet test soak lint format lock
.PHONY: bench-overhead bench-token_cost bench-online bench-routing
.PHONY: bench-allowances bench-batch bench-control bench-platform
.PHONY: bench-batch_choice bench-placement bench-even_load bench-customer_rates

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m standins.demo

fleet: $(READY)
	$(BIN)/python -m standins.demo fleet

test: $(READY)
	$(BIN)/python -m pytest

# plays real processes under drawn faults; SEED, MINUTES, SCENARIO may be set
soak: $(READY)
	$(BIN)/python -m soak --seed=$(or $(SEED),1) --minutes=$(or $(MINUTES),1) \
	  $(if $(SCENARIO),--scenario=$(SCENARIO))

bench-overhead bench-token_cost bench-online bench-routing bench-allowances bench-batch bench-control bench-batch_choice bench-placement bench-even_load bench-customer_rates: bench-%: $(READY)
	$(BIN)/python -m bench.$*

# runs one day of the platform bench; SITE: site file, FLEETBENCH: its program
bench-platform:
	@test -n "$(SITE)" -a -n "$(FLEETBENCH)" || \
	  (echo "usage: make bench-platform FLEETBENCH=... SITE=... [DAY=quiet-1] WHY=..."; exit 2)
	$(FLEETBENCH) run $(SITE) $(or $(DAY),quiet-1) --why "$(WHY)"

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 briarrill standins tests bench soak
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lock: $(READY)
	$(BIN)/pip install --quiet -r requirements.in
	(echo "# made by 'make lock' from requirements.in"; \
	  $(BIN)/pip freeze --all --exclude-editable | grep -v '^pip==') > requirements.lock
