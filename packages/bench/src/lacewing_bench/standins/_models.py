"""Hold the models that an engine has loaded."""

from lacewing_bench.standins._settings import LoadedAdapter
from lacewing_bench.standins._settings import LoadedModel


class LoadedModels:
    """Hold the loaded models, their weights and adapters."""

    def __init__(self, models: tuple[LoadedModel, ...]) -> None:
        self._models = {model.id: model for model in models}

    def all(self) -> tuple[LoadedModel, ...]:
        """Return the loaded models."""
        return tuple(self._models.values())

    def find(self, name: str, adapter: str) -> LoadedModel | None:
        """Return a model if it is loaded with an adapter ('': none)."""
        model = self._models.get(name)
        if model is None or not adapter:
            return model
        for loaded in model.adapters:
            if loaded.name == adapter:
                return model
        return None

    def install(self, name: str, weights: str) -> None:
        """Serve a model without adapters."""
        self._models[name] = LoadedModel(id=name, weights=weights)

    def remove(self, name: str) -> None:
        """Stop serving a model."""
        self._models.pop(name, None)

    def attach(self, name: str, adapter: LoadedAdapter) -> bool:
        """Set a model's adapter, or take it away; False: no such model."""
        model = self._models.get(name)
        if model is None:
            return False
        adapters = [
            each for each in model.adapters if each.name != adapter.name
        ]
        if adapter.version:
            adapters.append(adapter)
        self._models[name] = LoadedModel(
            id=name, weights=model.weights, adapters=tuple(adapters)
        )
        return True
