package caller

import (
	"encoding/json"
	"strings"

	"mimosatide.example/mimosatide"
)

// The bounds of a completion request.
const (
	defaultMaxTokens = 256
	largestMaxTokens = 131072
	// bytesPerToken is how many bytes of a prompt are counted as one token.
	bytesPerToken = 4
	// adapterSeparator stands between a model and its adapter in the name that callers use.
	adapterSeparator = ":"
)

// completion is a parsed completion request.
type completion struct {
	model        string
	adapter      string
	stream       bool
	maxTokens    int
	promptTokens int
	fields       map[string]json.RawMessage
}

// parseCompletion reads the body of a completion request.
func parseCompletion(body []byte) (completion, mimosatide.Refusal) {
	var parsed completion
	if err := json.Unmarshal(body, &parsed.fields); err != nil {
		return parsed, mimosatide.Refuse(mimosatide.ReasonMalformed, "the body is not a JSON object: "+err.Error())
	}
	var name string
	if !parsed.read("model", &name) || name == "" {
		return parsed, mimosatide.Refuse(mimosatide.ReasonMalformed, "the field model is not a name")
	}
	if !parsed.read("stream", &parsed.stream) {
		return parsed, mimosatide.Refuse(mimosatide.ReasonMalformed, "the field stream is not true or false")
	}
	if refusal := parsed.readMaxTokens(); refusal.Refused() {
		return parsed, refusal
	}
	if _, chat := parsed.fields["messages"]; !chat {
		if _, text := parsed.fields["prompt"]; !text {
			return parsed, mimosatide.Refuse(mimosatide.ReasonMalformed, "the body has neither messages nor a prompt")
		}
	}
	parsed.model, parsed.adapter, _ = strings.Cut(name, adapterSeparator)
	parsed.promptTokens = parsed.countPrompt()
	return parsed, mimosatide.Refusal{}
}

// read decodes a field, and says whether it is absent or of the right type.
func (parsed *completion) read(field string, value any) bool {
	data, present := parsed.fields[field]
	if !present || string(data) == "null" {
		return true
	}
	return json.Unmarshal(data, value) == nil
}

func (parsed *completion) readMaxTokens() mimosatide.Refusal {
	parsed.maxTokens = defaultMaxTokens
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		if !parsed.read(field, &parsed.maxTokens) {
			return mimosatide.Refuse(mimosatide.ReasonBadTokenCount, "the field "+field+" is not a whole number")
		}
	}
	if parsed.maxTokens < 1 || parsed.maxTokens > largestMaxTokens {
		return mimosatide.Refuse(mimosatide.ReasonBadTokenCount, "the token count is not between 1 and 131072")
	}
	return mimosatide.Refusal{}
}

// countPrompt estimates the prompt's tokens from its bytes.
func (parsed *completion) countPrompt() int {
	size := len(parsed.fields["messages"]) + len(parsed.fields["prompt"])
	return (size + bytesPerToken - 1) / bytesPerToken
}

// forEngine returns the body that the engine gets: always streamed, so that progress shows.
func (parsed *completion) forEngine() ([]byte, error) {
	fields := map[string]json.RawMessage{}
	for name, value := range parsed.fields {
		fields[name] = value
	}
	served := parsed.model
	if parsed.adapter != "" {
		served = parsed.adapter
	}
	name, err := json.Marshal(served)
	if err != nil {
		return nil, err
	}
	tokens, err := json.Marshal(parsed.maxTokens)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	fields["stream"] = json.RawMessage("true")
	fields["max_tokens"] = tokens
	delete(fields, "max_completion_tokens")
	return json.Marshal(fields)
}

// chunkWire is one event of a streamed completion; chat and text differ in where the text stands.
type chunkWire struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// collected is a whole answer put together from its events.
type collected struct {
	text   strings.Builder
	finish string
	events int
}

func (whole *collected) add(data []byte) error {
	var chunk chunkWire
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	whole.events++
	for _, choice := range chunk.Choices {
		whole.text.WriteString(choice.Text)
		whole.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			whole.finish = *choice.FinishReason
		}
	}
	return nil
}

type messageWire struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choiceWire struct {
	Index        int          `json:"index"`
	Message      *messageWire `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

type usageWire struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionWire struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []choiceWire `json:"choices"`
	Usage   usageWire    `json:"usage"`
}

// encode returns the answer of a request that isn't streamed.
func (whole *collected) encode(id string, chat bool, parsed completion) ([]byte, error) {
	text := whole.text.String()
	choice := choiceWire{FinishReason: whole.finish}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		choice.Message = &messageWire{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return json.Marshal(completionWire{
		ID:      id,
		Object:  object,
		Model:   parsed.model,
		Choices: []choiceWire{choice},
		Usage: usageWire{
			PromptTokens:     parsed.promptTokens,
			CompletionTokens: whole.events,
			TotalTokens:      parsed.promptTokens + whole.events,
		},
	})
}
