package loading

import "mimosatide.example/mimosatide"

func holds(holdings []mimosatide.Holding, model string) bool {
	for _, holding := range holdings {
		if holding.Model == model {
			return true
		}
	}
	return false
}

func holdsAdapter(instance mimosatide.Instance, model, adapter string) bool {
	for _, holding := range instance.Holdings {
		if holding.Model == model && (contains(holding.Adapters, adapter) || contains(holding.LoadingAdapters, adapter)) {
			return true
		}
	}
	return false
}

// withoutModel returns a copy of an instance that does not hold a model.
func withoutModel(instance mimosatide.Instance, model string) mimosatide.Instance {
	var kept []mimosatide.Holding
	for _, holding := range instance.Holdings {
		if holding.Model != model {
			kept = append(kept, holding)
		}
	}
	instance.Holdings = kept
	return instance
}

// withModel returns a copy of an instance that holds a model.
func withModel(instance mimosatide.Instance, model string) mimosatide.Instance {
	if instance.Holds(model) {
		return instance
	}
	holdings := append([]mimosatide.Holding{}, instance.Holdings...)
	instance.Holdings = append(holdings, mimosatide.Holding{Model: model})
	return instance
}

// withAdapter returns a copy of an instance that holds an adapter.
func withAdapter(instance mimosatide.Instance, model, adapter string) mimosatide.Instance {
	return mapAdapters(instance, model, func(adapters []string) []string {
		return append(append([]string{}, adapters...), adapter)
	})
}

// withoutAdapter returns a copy of an instance that does not hold an adapter.
func withoutAdapter(instance mimosatide.Instance, model, adapter string) mimosatide.Instance {
	return mapAdapters(instance, model, func(adapters []string) []string {
		var kept []string
		for _, each := range adapters {
			if each != adapter {
				kept = append(kept, each)
			}
		}
		return kept
	})
}

func mapAdapters(instance mimosatide.Instance, model string, change func([]string) []string) mimosatide.Instance {
	holdings := append([]mimosatide.Holding{}, instance.Holdings...)
	for index, holding := range holdings {
		if holding.Model == model {
			holdings[index].Adapters = change(holding.Adapters)
		}
	}
	instance.Holdings = holdings
	return instance
}
