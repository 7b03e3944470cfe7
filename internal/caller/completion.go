package caller

import (
	"encoding/json"
	"strings"

	"mimosatide.example/mimosatide"
)

// Token counts of a completion request and the form of its model name.
const (
	// defaultMaxTokens applies when a request gives no limit for its output.
	defaultMaxTokens = 256
	maxOutputTokens  = 131072
	// bytesPerToken is used to estimate the tokens of a prompt.
	bytesPerToken = 4
	// adapterSeparator separates model and adapter in a model name, as in "model:adapter".
	adapterSeparator = ":"
)

// completion is a parsed completion request.
type completion struct {
	model        string
	adapter      string
	stream       bool
	maxTokens    int
	promptTokens int
	// fields are all fields of the body, including those that only the engine reads.
	fields map[string]json.RawMessage
}

// parseCompletion parses and validates the body of a completion request.
func parseCompletion(body []byte) (completion, mimosatide.Refusal) {
	var parsed completion
	if err := json.Unmarshal(body, &parsed.fields); err != nil {
		return parsed, mimosatide.Refuse(mimosatide.ReasonMalformed, "the body is not a JSON object: "+err.Error())
	}
	var name string
	if !parsed.decodeField("model", &name) || name == "" {
		return parsed, mimosatide.Refuse(mimosatide.ReasonMalformed, "the field model is not a name")
	}
	if !parsed.decodeField("stream", &parsed.stream) {
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
	parsed.promptTokens = parsed.estimatePromptTokens()
	return parsed, mimosatide.Refusal{}
}

// decodeField decodes a field into value. It returns false if the field has the
// wrong type; an absent or null field leaves value as it is.
func (parsed *completion) decodeField(field string, value any) bool {
	data, present := parsed.fields[field]
	if !present || string(data) == "null" {
		return true
	}
	return json.Unmarshal(data, value) == nil
}

func (parsed *completion) readMaxTokens() mimosatide.Refusal {
	parsed.maxTokens = defaultMaxTokens
	for _, field := range []string{"max_tokens", "max_completion_tokens"} {
		if !parsed.decodeField(field, &parsed.maxTokens) {
			return mimosatide.Refuse(mimosatide.ReasonBadTokenCount, "the field "+field+" is not a whole number")
		}
	}
	if parsed.maxTokens < 1 || parsed.maxTokens > maxOutputTokens {
		return mimosatide.Refuse(mimosatide.ReasonBadTokenCount, "the token count is not between 1 and 131072")
	}
	return mimosatide.Refusal{}
}

// estimatePromptTokens estimates the tokens of the prompt from its size in JSON.
func (parsed *completion) estimatePromptTokens() int {
	size := len(parsed.fields["messages"]) + len(parsed.fields["prompt"])
	return (size + bytesPerToken - 1) / bytesPerToken
}

// engineBody returns the request body for the engine. It always asks for a stream,
// because the events show whether the engine still makes progress.
func (parsed *completion) engineBody() ([]byte, error) {
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

// chunkWire is one event of a streamed completion. Chat completions have their
// text in Delta.Content, text completions in Text.
type chunkWire struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// answerBuilder combines the events of a stream into one answer.
type answerBuilder struct {
	text         strings.Builder
	finishReason string
	events       int
}

func (builder *answerBuilder) add(data []byte) error {
	var chunk chunkWire
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	builder.events++
	for _, choice := range chunk.Choices {
		builder.text.WriteString(choice.Text)
		builder.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			builder.finishReason = *choice.FinishReason
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

// encode returns the answer to a request that isn't streamed. Each event counts as
// one completion token.
func (builder *answerBuilder) encode(id string, chat bool, parsed completion) ([]byte, error) {
	text := builder.text.String()
	choice := choiceWire{FinishReason: builder.finishReason}
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
			CompletionTokens: builder.events,
			TotalTokens:      parsed.promptTokens + builder.events,
		},
	})
}
