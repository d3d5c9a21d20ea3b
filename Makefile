# Each command sets up what it needs on a machine that has python3.11.
VENV ?= .venv
PYTHON ?= python3.11

.PHONY: demo test

demo: $(VENV)/ready
	PYTHONPATH=. $(VENV)/bin/python examples/quickstart.py

test: $(VENV)/ready
	$(VENV)/bin/python -m pytest -q -n 6

$(VENV)/ready: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@
