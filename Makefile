PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: test lint demo bench soak soak-gateway soak-mutants rig clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[test]'
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/black --check --quiet berylrock features
	$(VENV)/bin/ruff check --quiet berylrock features
	$(VENV)/bin/mypy

test: lint
	$(VENV)/bin/python -m berylrock.scripts.suite

demo: $(STAMP)
	$(VENV)/bin/python -m berylrock.scripts.demo

clean:
	rm -rf $(VENV) .run

bench: $(STAMP)
	$(VENV)/bin/berylrock bench

SEEDS ?= 1-5
soak-gateway: $(STAMP)
	PYTHONPATH=features $(VENV)/bin/python -m support.platform.soak --seeds $(SEEDS)

SIZE ?= ferrante
rig: $(STAMP)
	PYTHONPATH=features $(VENV)/bin/python -m support.platform.rig --seeds $(SEEDS) --size $(SIZE)

soak-mutants: $(STAMP)
	PYTHONPATH=features $(VENV)/bin/python -m support.platform.soakmutants

SEED ?= 1
SECONDS ?= 30
DEPLOYMENT ?= ferrante
soak: $(STAMP)
	$(VENV)/bin/python -m berylrock.scripts.soak --deployment $(DEPLOYMENT) --seed $(SEED) --seconds $(SECONDS)
