package stand

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
)

// fencing is the fencing number of a control order, which identifies the leader that issued the order: the Raft term
// and the log index of the leader's first entry in that term. It grows with each new leader, so that an engine can
// reject the orders of an old one.
type fencing struct {
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
}

// less compares two fencing numbers by term and then by index.
func (f fencing) less(o fencing) bool {
	if f.Term != o.Term {
		return f.Term < o.Term
	}
	return f.Index < o.Index
}

// Actions of control orders to the simulated engine.
const (
	actionLoadModel     = "load-model"
	actionUnloadModel   = "unload-model"
	actionLoadAdapter   = "load-adapter"
	actionUnloadAdapter = "unload-adapter"
	actionSetRole       = "set-role"
)

// orderActions lists the actions that a control order to the simulated engine may have.
var orderActions = []string{actionLoadModel, actionUnloadModel, actionLoadAdapter, actionUnloadAdapter, actionSetRole}

// orderRequest is the body of POST /v1/orders: a control order to the simulated engine.
type orderRequest struct {
	Fencing fencing `json:"fencing"`
	Action  string  `json:"action"`
	Model   string  `json:"model,omitempty"`
	Adapter string  `json:"adapter,omitempty"`
	Version string  `json:"version,omitempty"`
	Role    string  `json:"role,omitempty"`
}

// loadedItem is a model or an adapter that the simulated engine has loaded or is loading.
type loadedItem struct {
	version     string
	parentModel string    // the base model of an adapter; empty for a model
	readyAt     time.Time // when loading ends
}

// engineState holds the models, adapters and role that control orders have set in the simulated engine.
type engineState struct {
	checksFencing  bool
	orderLatency   time.Duration
	highestFencing fencing               // of all accepted orders
	lastFencing    fencing               // of the order accepted last
	appliedOrders  int                   // number of accepted orders
	loadedItems    map[string]loadedItem // models and adapters by name
	role           string
}

// putItem adds a model or an adapter to the engine's loaded ones, or replaces the one with the same name.
func (o *engineState) putItem(name string, l loadedItem) {
	if o.loadedItems == nil {
		o.loadedItems = make(map[string]loadedItem)
	}
	o.loadedItems[name] = l
}

// acceptFencing records the fencing number of a control order. It returns false if the engine checks fencing numbers
// and this one is below the highest seen.
func (o *engineState) acceptFencing(f fencing) bool {
	if f.less(o.highestFencing) && o.checksFencing {
		return false
	}
	if o.highestFencing.less(f) {
		o.highestFencing = f
	}
	o.lastFencing = f
	o.appliedOrders++
	return true
}

// startLoading starts to load a model or an adapter. It does nothing if the same version of that model or adapter is
// already present.
func (o *engineState) startLoading(now time.Time, name, version, parent string) {
	if old, ok := o.loadedItems[name]; ok && old.version == version && old.parentModel == parent {
		return
	}
	o.putItem(name, loadedItem{version: version, parentModel: parent, readyAt: now.Add(o.orderLatency)})
}

// unloadItem removes the named adapter from the engine, or the named model together with its adapters.
func (o *engineState) unloadItem(name string) {
	delete(o.loadedItems, name)
	for k, l := range o.loadedItems {
		if l.parentModel == name {
			delete(o.loadedItems, k)
		}
	}
}

// applyOrder executes a control order whose action is known. It returns false if the order's fencing number is
// refused.
func (o *engineState) applyOrder(now time.Time, r orderRequest) bool {
	if !o.acceptFencing(r.Fencing) {
		return false
	}
	switch r.Action {
	case actionLoadModel:
		o.startLoading(now, r.Model, r.Version, "")
	case actionUnloadModel:
		o.unloadItem(r.Model)
	case actionLoadAdapter:
		o.startLoading(now, r.Adapter, r.Version, r.Model)
	case actionUnloadAdapter:
		o.unloadItem(r.Adapter)
	case actionSetRole:
		o.role = r.Role
	}
	return true
}

// itemNames returns the sorted names of all models and adapters that the engine has loaded or is loading.
func (o *engineState) itemNames() []string {
	names := make([]string, 0, len(o.loadedItems))
	for name := range o.loadedItems {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// orderStateItem is one model or adapter in the simulated engine's reply to GET /v1/orders. Model is the base model of
// an adapter, and State is loading or ready.
type orderStateItem struct {
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version"`
	State   string `json:"state"`
}

// orderState is the reply to GET /v1/orders: what control orders have set up in the engine. Fencing is the fencing
// number of the order applied last, and Highest the highest fencing number seen.
type orderState struct {
	Fencing  fencing          `json:"fencing"`
	Highest  fencing          `json:"highest-fencing"`
	Applied  int              `json:"applied"`
	Role     string           `json:"role"`
	Models   []orderStateItem `json:"models"`
	Adapters []orderStateItem `json:"adapters"`
}

// orderState returns what control orders have set up at the given time, in the form of the reply to GET /v1/orders.
func (o *engineState) orderState(now time.Time) orderState {
	s := orderState{
		Fencing: o.lastFencing, Highest: o.highestFencing, Applied: o.appliedOrders, Role: o.role,
		Models: []orderStateItem{}, Adapters: []orderStateItem{},
	}
	for _, name := range o.itemNames() {
		l := o.loadedItems[name]
		item := orderStateItem{Name: name, Model: l.parentModel, Version: l.version, State: "ready"}
		if now.Before(l.readyAt) {
			item.State = "loading"
		}
		if l.parentModel == "" {
			s.Models = append(s.Models, item)
		} else {
			s.Adapters = append(s.Adapters, item)
		}
	}
	return s
}

// servesModel reports whether the engine has finished loading the model or adapter with that name.
func (e *Engine) servesModel(name string) bool {
	e.engineMu.Lock()
	defer e.engineMu.Unlock()
	l, ok := e.state.loadedItems[name]
	return ok && !e.Clock.Now().Before(l.readyAt)
}

// handleOrder handles POST /v1/orders: it applies a control order and returns the state that orders have set up after
// it.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var req orderRequest
	if !decodeBody(w, r, &req) {
		return
	}
	if !slices.Contains(orderActions, req.Action) {
		writeError(w, http.StatusBadRequest, "bad_request", "action must be one of "+strings.Join(orderActions, ", "))
		return
	}
	e.engineMu.Lock()
	ok := e.state.applyOrder(e.Clock.Now(), req)
	state := e.state.orderState(e.Clock.Now())
	e.engineMu.Unlock()
	if !ok {
		e.Log.Info("stale-order-refused", zap.Uint64("term", req.Fencing.Term))
		writeError(w, http.StatusConflict, "stale_fencing", "an order with a higher fencing number was accepted before")
		return
	}
	e.Log.Info("order-applied", zap.Uint64("term", req.Fencing.Term), zap.String("action", req.Action), zap.String("model", req.Model),
		zap.String("adapter", req.Adapter), zap.String("version", req.Version))
	writeJSON(w, http.StatusOK, state)
}

// handleReadOrders handles GET /v1/orders: it returns the state that control orders have set up in the engine.
func (e *Engine) handleReadOrders(w http.ResponseWriter, _ *http.Request) {
	e.engineMu.Lock()
	state := e.state.orderState(e.Clock.Now())
	e.engineMu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

// handleModels handles GET /v1/models: it returns the models and adapters that the engine has finished loading.
func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Parent string `json:"parent,omitempty"`
	}
	data := []model{}
	e.engineMu.Lock()
	for _, name := range e.state.itemNames() {
		if l := e.state.loadedItems[name]; !e.Clock.Now().Before(l.readyAt) {
			data = append(data, model{ID: name, Object: "model", Parent: l.parentModel})
		}
	}
	e.engineMu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": data})
}

// adapterRequest is the body of a request to the simulated engine to load or unload a LoRA adapter. LoraPath is used
// as the adapter's version.
type adapterRequest struct {
	LoraName      string `json:"lora_name"`
	LoraPath      string `json:"lora_path"`
	BaseModelName string `json:"base_model_name"`
}

// handleLoadAdapter handles POST /v1/load_lora_adapter. The base model defaults to the engine's first model.
func (e *Engine) handleLoadAdapter(w http.ResponseWriter, r *http.Request) {
	e.changeAdapter(w, r, func(req adapterRequest) {
		base := req.BaseModelName
		if base == "" && len(e.Models) > 0 {
			base = e.Models[0]
		}
		e.state.startLoading(e.Clock.Now(), req.LoraName, req.LoraPath, base)
	})
}

// handleUnloadAdapter handles POST /v1/unload_lora_adapter.
func (e *Engine) handleUnloadAdapter(w http.ResponseWriter, r *http.Request) {
	e.changeAdapter(w, r, func(req adapterRequest) { e.state.unloadItem(req.LoraName) })
}

// changeAdapter decodes and checks a request to load or unload an adapter, and applies the change under the engine's
// lock.
func (e *Engine) changeAdapter(w http.ResponseWriter, r *http.Request, change func(adapterRequest)) {
	var req adapterRequest
	if !decodeBody(w, r, &req) {
		return
	}
	if req.LoraName == "" {
		writeError(w, http.StatusBadRequest, "bad_request", "lora_name is missing")
		return
	}
	e.engineMu.Lock()
	change(req)
	e.engineMu.Unlock()
	writeJSON(w, http.StatusOK, map[string]string{"status": "success"})
}
