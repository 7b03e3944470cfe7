package queue_test

import (
	"fmt"
	"testing"

	"mimosatide.example/mimosatide/internal/queue"
)

func open(string) bool { return false }

func fill(waiting *queue.Queue, account string, weight float64, count int) {
	for index := range count {
		waiting.Push(queue.Item{ID: fmt.Sprintf("%s-%d", account, index), Account: account, Weight: weight, Tokens: 100})
	}
}

func TestAccountsShareByWeight(t *testing.T) {
	waiting := queue.New()
	fill(waiting, "sponsors", 3, 400)
	fill(waiting, "free", 1, 400)
	served := map[string]int{}
	for range 400 {
		item, _ := waiting.Next(open)
		served[item.Account]++
	}
	if served["free"] < 99 || served["free"] > 101 {
		t.Fatalf("served %v", served)
	}
}

func TestIdleAccountGainsNoCredit(t *testing.T) {
	waiting := queue.New()
	fill(waiting, "busy", 1, 200)
	for range 100 {
		waiting.Next(open)
	}
	fill(waiting, "late", 1, 100)
	served := map[string]int{}
	for range 100 {
		item, _ := waiting.Next(open)
		served[item.Account]++
	}
	if served["late"] > 51 {
		t.Fatalf("served %v", served)
	}
}

func TestBlockedAccountIsPassedOver(t *testing.T) {
	waiting := queue.New()
	fill(waiting, "a", 1, 1)
	fill(waiting, "b", 1, 1)
	item, _ := waiting.Next(func(account string) bool { return account == "a" })
	if item.Account != "b" {
		t.Fatalf("served %s", item.Account)
	}
}

func TestRequestPutBackRunsFirst(t *testing.T) {
	waiting := queue.New()
	fill(waiting, "a", 1, 3)
	first, _ := waiting.Next(open)
	waiting.PushFront(first)
	if again, _ := waiting.Next(open); again.ID != first.ID {
		t.Fatalf("served %s", again.ID)
	}
}

func TestRemovedRequestIsNotServed(t *testing.T) {
	waiting := queue.New()
	fill(waiting, "a", 1, 2)
	if !waiting.Remove("a-0") || waiting.Remove("a-0") {
		t.Fatal("a request was removed twice or not at all")
	}
	if item, _ := waiting.Next(open); item.ID != "a-1" {
		t.Fatalf("served %s", item.ID)
	}
}
